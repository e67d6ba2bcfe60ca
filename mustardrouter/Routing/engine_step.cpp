#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

void answer(engine_step &step, const waiting_request &request, statement_result result)
{
    answer_request action;
    action.request = request.id;
    action.result = std::move(result);
    action.queued = step.now - request.arrived;
    step.actions.emplace_back(std::move(action));
}

} // namespace mustardrouter
