#pragma once

#include "mustardrouter/Routing/group_engine.h"

namespace mustardrouter
{

/// When a refused caller may come back.
constexpr duration retryHint = std::chrono::milliseconds(50);

/// One step of an engine: its state, the time, and where its decisions go.
struct engine_step {
    group_engine &engine;
    time_point now;
    engine_actions &actions;
};

/// Answers a request that has not been sent to a database.
void answer(engine_step &step, const waiting_request &request, statement_result result);

} // namespace mustardrouter
