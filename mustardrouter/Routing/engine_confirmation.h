#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Number of a round of reports that begins after now.
std::uint64_t requestRound(engine_step &step);

/// Whether the owner must be shown to be the owner still before this is answered: reads that an
/// owner which has been replaced unawares could answer too, and transactions.
bool needsRound(const group_engine &engine, const statement &what);

/// Takes a database's answer to a statement.
void onAnswer(engine_step &step, const statement_answered &event);

/// Answers whatever has been confirmed, or has waited until its deadline.
void confirmResults(engine_step &step);

/// Starts a round of reports when answers wait for one.
void startRequestedRound(engine_step &step);

/// Remembers when the rounds after `before` were asked for.
void recordRoundStarts(engine_step &step, std::uint64_t before);

/// Remembers how far the primary had come when it was asked for this report.
void samplePrimaryPosition(engine_step &step, const database_reported &event);

} // namespace mustardrouter
