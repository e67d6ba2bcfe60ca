#pragma once

#include "mustardrouter/Routing/group_engine.h"

namespace mustardrouter
{

/// When a refused caller may come back.
constexpr duration defaultRetryAfter = std::chrono::milliseconds(50);

/// One step of an engine: its state, the time, and where its decisions go.
struct engine_step {
    group_engine &engine;
    time_point now;
    engine_actions &actions;
};

/// Answers a request that has not been sent to a database.
void answer(engine_step &step, const waiting_request &request, statement_result result);

/// Answers a request that has been sent to a database, unless nobody waits for it any more.
void answerRun(engine_step &step, const running_request &run, statement_result result);

/// Whether a statement of this kind leaves an entry in the log when it is done.
bool changesData(statement_kind kind);

/// Lets the ownership of the group decide on an event and applies what it decided.
void stepOwnership(engine_step &step, const ownership_event &event);

/// Carries out decisions of the ownership: starts and ends terms, passes the rest on.
void applyOwnership(engine_step &step, ownership_actions &decided);

} // namespace mustardrouter
