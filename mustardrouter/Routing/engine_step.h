#pragma once

#include "mustardrouter/Routing/group_engine.h"

namespace mustardrouter
{

/// Time after which a refused caller may retry, unless an estimate gives another.
constexpr duration defaultRetryAfter = std::chrono::milliseconds(50);

/// Context of one step of an engine: its state, the current time, and the actions decided so far.
struct engine_step {
    group_engine &engine;
    time_point now;
    engine_actions &actions;
};

/// Answers a request that has not been sent to a database.
void answer(engine_step &step, const waiting_request &request, statement_result result);

/// Answers a request that has been sent to a database, unless it has been abandoned.
void answerRun(engine_step &step, const running_request &run, statement_result result);

/// Whether a statement of this kind can append an entry to the log.
bool changesData(statement_kind kind);

/// Advances the ownership of the group by one event and applies its decisions.
void stepOwnership(engine_step &step, const ownership_event &event);

/// Applies decisions of the ownership: starts and ends terms, and passes all of them on as actions.
void applyOwnership(engine_step &step, ownership_actions &decided);

} // namespace mustardrouter
