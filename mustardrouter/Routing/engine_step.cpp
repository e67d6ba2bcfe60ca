#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

void answer(engine_step &step, const waiting_request &request, statement_result result)
{
    answer_request action;
    action.request = request.id;
    action.result = std::move(result);
    action.queueTime = step.now - request.arrivedAt;
    step.actions.emplace_back(std::move(action));
}

void answerRun(engine_step &step, const running_request &run, statement_result result)
{
    if (run.abandoned) {
        return;
    }
    answer_request action;
    action.request = run.request.id;
    action.result = std::move(result);
    action.result.database = run.database;
    action.queueTime = run.startedAt - run.request.arrivedAt;
    action.runTime = run.answeredAt - run.startedAt;
    action.confirmationTime = step.now - run.answeredAt;
    step.actions.emplace_back(std::move(action));
}

bool changesData(statement_kind kind)
{
    return kind == statement_kind::write || kind == statement_kind::commit;
}

} // namespace mustardrouter
