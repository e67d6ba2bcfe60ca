#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Requests a round of reports that begins after this call, and returns its number.
std::uint64_t requestRound(engine_step &step);

/// Whether a round of reports must confirm that this instance is still the owner before the statement is answered. An
/// owner that has been replaced without noticing it could otherwise answer the read or begin the transaction.
bool needsRound(const group_engine &engine, const statement &what);

/// Handles a database's answer to a statement.
void onAnswer(engine_step &step, const statement_answered &event);

/// Answers the results that have been confirmed or whose deadline has passed.
void confirmResults(engine_step &step);

/// Starts a round of reports if one is requested and the interval between rounds has passed.
void startRequestedRound(engine_step &step);

/// Records the start time of the rounds after `before`.
void recordRoundStarts(engine_step &step, std::uint64_t before);

/// Records the primary's position from its report, with the time at which the report was requested.
void samplePrimaryPosition(engine_step &step, const database_reported &event);

} // namespace mustardrouter
