#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/wire_codec.h"

namespace mustardrouter
{

void decision_thread::stepEntry(const entry_event &event)
{
    entry_actions actions;
    step(m_entry, event, now(), actions);
    for (entry_action &action : actions) {
        std::visit(
            [&](auto &what) {
                apply(what);
            },
            action);
    }
}

void decision_thread::answerEntry(const owner_answered &event, request_hops hops)
{
    m_currentTimings = std::move(hops);
    stepEntry(event);
    m_currentTimings.reset();
}

void decision_thread::apply(forward_statement &action)
{
    if (action.to == m_settings.self.name) {
        owner_request origin;
        origin.group = action.group;
        origin.entryRequest = action.request.value();
        acceptRequest(action.group, std::move(origin), std::move(action.what));
        return;
    }
    wire::peer_message message;
    wire::forward &forward = *message.mutable_forward();
    forward.set_id(action.request.value());
    forward.set_group(action.group.value());
    *forward.mutable_statement() = toWire(action.what, now());
    if (action.what.floor) {
        *forward.mutable_floor() = toWire(*action.what.floor);
    }
    if (!sendToPeer(action.to, std::move(message))) {
        stepEntry(forward_failed{action.request});
    }
}

void decision_thread::apply(const find_owner &action)
{
    m_recordsRequestedByEntry.insert(action.group);
    m_outputs.platform.post(read_record_job{action.group});
}

void decision_thread::apply(answer_caller &action)
{
    const double seconds = std::chrono::duration<double>(action.elapsed).count();
    // Callers may send any service name; only configured ones become labels, to bound their number.
    const bool known = m_configuration && m_configuration->services.contains(action.service.value());
    m_outputs.instanceMetrics.countStatement(known ? action.service.value() : "unknown", action.result.kind, seconds);
    traceAnswer(action);
    wire::caller_response response;
    response.set_id(action.callerRequest);
    *response.mutable_result() = toWire(action.result);
    response.mutable_result()->set_session_token(action.token);
    send(frame_connection_id(action.caller.value()), std::move(response));
}

void decision_thread::apply(const abandon_at_owner &action)
{
    if (action.to == m_settings.self.name) {
        if (action.transaction.value() != 0) {
            stepEngine(action.group, transaction_abandoned{action.transaction});
            return;
        }
        if (const std::optional<request_id> found = findRequest(std::nullopt, action.request.value())) {
            abandonRequest(*found);
        }
        return;
    }
    wire::peer_message message;
    wire::abandon &abandon = *message.mutable_abandon();
    abandon.set_id(action.request.value());
    abandon.set_group(action.group.value());
    abandon.set_transaction(action.transaction.value());
    abandon.set_session(action.session.value());
    sendToPeer(action.to, std::move(message));
}

} // namespace mustardrouter
