#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>

namespace mustardrouter
{

void decision_thread::onNetworkEvent(network_event &event)
{
    if (const auto *closed = std::get_if<frame_connection_closed>(&event)) {
        onClosed(*closed);
        return;
    }
    auto &received = std::get<message_received>(event);
    std::visit(
        [&](auto &message) {
            onMessage(received.connection, message);
        },
        received.message);
}

void decision_thread::onMessage(frame_connection_id connection, wire::caller_request &request)
{
    const bool added = m_connections.try_emplace(connection, caller_connection{}).second;
    if (added && m_draining) {
        sendShutdownNotice(connection);
    }
    const wire::statement &message = request.statement();
    if (!isKnown(message)) {
        wire::caller_response refusal;
        refusal.set_id(request.id());
        *refusal.mutable_result() = toWire(notRun(failure::malformedRequest, "unknown kind of statement or read rule"));
        send(connection, std::move(refusal));
        return;
    }
    caller_request_arrived sent;
    sent.caller = caller_id(connection.value());
    sent.callerRequest = request.id();
    sent.callerName = message.caller();
    sent.partition = message.partition();
    sent.token = message.session_token();
    sent.hasReadRule = message.has_read_rule();
    sent.timeout = std::chrono::milliseconds(message.deadline_ms());
    sent.what = fromWire(message, now());
    if (!message.trace_parent().empty()) {
        m_entryTraces[{connection.value(), request.id()}] = parseTraceParent(message.trace_parent());
    }
    stepEntry(sent);
}

/// Tells a caller to use another entry. Requests already in flight are still served.
void decision_thread::sendShutdownNotice(frame_connection_id caller)
{
    wire::caller_response notice;
    *notice.mutable_result() = toWire(notRun(failure::shuttingDown, "use another entry"));
    send(caller, std::move(notice));
}

bool decision_thread::hasCallers() const
{
    return std::ranges::any_of(m_connections, [](const auto &item) {
        return std::holds_alternative<caller_connection>(item.second);
    });
}

void decision_thread::onMessage(frame_connection_id, wire::caller_response &)
{
    // Unreachable: network_thread parses messages of callers as caller_request.
}

void decision_thread::onMessage(frame_connection_id connection, wire::database_message &message)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // A copy, since the engine's actions may remove the connection.
    const connection_use use = found->second;
    if (const auto *control = std::get_if<control_connection>(&use)) {
        if (message.has_report()) {
            stepEngine(control->group, ownership_event(database_reported{control->database, fromWire(message.report())}));
        }
        return;
    }
    if (!std::holds_alternative<statement_connection>(use)) {
        return;
    }
    const statement_connection &statements = std::get<statement_connection>(use);
    if (message.has_opened()) {
        const term_number term(message.opened().term());
        stepEngine(statements.group, connection_opened{statements.poolConnection, message.opened().accepted(), term});
        return;
    }
    if (message.has_answer()) {
        const wire::database_answer &answer = message.answer();
        statement_answered event;
        event.connection = statements.poolConnection;
        event.request = request_id(answer.id());
        event.result = fromWire(answer.result());
        event.entry = fromWire(answer.entry());
        event.refusedByTerm = term_number(answer.refused_by_term());
        stepEngine(statements.group, event);
    }
}

void decision_thread::onClosed(const frame_connection_closed &event)
{
    const auto found = m_connections.find(event.connection);
    if (found == m_connections.end()) {
        return;
    }
    const connection_use use = found->second;
    m_connections.erase(found);
    if (std::holds_alternative<caller_connection>(use)) {
        stepEntry(caller_disconnected{caller_id(event.connection.value())});
        return;
    }
    if (const auto *peer = std::get_if<peer_connection>(&use)) {
        if (peer->peer.value().empty()) {
            abandonPeerRequests(event.connection);
            return;
        }
        m_peerConnections.erase(peer->peer);
        stepDistribution(peer_connection_lost{peer->peer});
        if (markUnreachable(m_directory, peer->peer, now())) {
            refreshInstances();
        }
        stepEntry(peer_disconnected{peer->peer, event.cause == failure::addressUnavailable});
        return;
    }
    if (const auto *control = std::get_if<control_connection>(&use)) {
        m_controlConnections.erase(control->database);
        stepEngine(control->group, ownership_event(database_unreachable{control->database}));
        return;
    }
    const statement_connection &statements = std::get<statement_connection>(use);
    m_statementConnections.erase(statements.poolConnection);
    stepEngine(statements.group, connection_closed{statements.poolConnection});
}

void decision_thread::send(frame_connection_id connection, connection_message message)
{
    if (m_outputs.network.post(send_message{connection, std::move(message)}) != failure::none) {
        writeLog(log_level::error, "decisions", "the command ring to the network thread is full; closing the connection");
        onClosed({connection, connection_kind::peer, failure::ringFull});
        m_outputs.network.post(close_frame_connection{connection});
    }
}

frame_connection_id decision_thread::openConnection(connection_kind kind, const std::string &address, connection_use use)
{
    const frame_connection_id connection(m_nextConnection);
    m_nextConnection += 2;
    m_connections.emplace(connection, std::move(use));
    m_outputs.network.post(open_frame_connection{connection, kind, address});
    return connection;
}

} // namespace mustardrouter
