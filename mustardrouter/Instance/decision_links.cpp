#include "mustardrouter/Instance/decision_duty.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>

namespace mustardrouter
{

void decision_duty::onLink(link_event &event)
{
    if (const auto *closed = std::get_if<link_closed>(&event)) {
        onClosed(*closed);
        return;
    }
    auto &received = std::get<link_received>(event);
    std::visit(
        [&](auto &message) {
            onMessage(received.link, message);
        },
        received.message);
}

void decision_duty::onMessage(link_id link, wire::caller_request &request)
{
    const bool added = m_links.try_emplace(link, caller_link{}).second;
    if (added && m_draining) {
        askToLeave(link);
    }
    const wire::statement &message = request.statement();
    if (!isKnown(message)) {
        wire::caller_response refusal;
        refusal.set_id(request.id());
        *refusal.mutable_result() = toWire(notRun(failure::malformedRequest, "unknown kind of statement or read rule"));
        send(link, std::move(refusal));
        return;
    }
    caller_request_arrived sent;
    sent.caller = caller_id(link.value());
    sent.callerRequest = request.id();
    sent.callerName = message.caller();
    sent.partition = message.partition();
    sent.token = message.session_token();
    sent.hasReadRule = message.has_read_rule();
    sent.timeout = std::chrono::milliseconds(message.deadline_ms());
    sent.what = fromWire(message, now());
    if (!message.trace_parent().empty()) {
        m_entryTraces[{link.value(), request.id()}] = parseTraceParent(message.trace_parent());
    }
    stepEntry(sent);
}

/// Requests that cross this notice on their way are served still.
void decision_duty::askToLeave(link_id caller)
{
    wire::caller_response notice;
    *notice.mutable_result() = toWire(notRun(failure::shuttingDown, "use another entry"));
    send(caller, std::move(notice));
}

bool decision_duty::hasCallers() const
{
    return std::ranges::any_of(m_links, [](const auto &item) {
        return std::holds_alternative<caller_link>(item.second);
    });
}

void decision_duty::onMessage(link_id, wire::caller_response &)
{
    // Callers send requests; the parser of caller links yields nothing else.
}

void decision_duty::onMessage(link_id link, wire::database_message &message)
{
    const auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    // A copy: what the engine decides may end the link.
    const link_use use = found->second;
    if (const auto *control = std::get_if<control_link>(&use)) {
        if (message.has_report()) {
            stepEngine(control->group, ownership_event(database_reported{control->database, fromWire(message.report())}));
        }
        return;
    }
    if (!std::holds_alternative<statement_link>(use)) {
        return;
    }
    const statement_link &statements = std::get<statement_link>(use);
    if (message.has_opened()) {
        const term_number term(message.opened().term());
        stepEngine(statements.group, connection_opened{statements.connection, message.opened().accepted(), term});
        return;
    }
    if (message.has_answer()) {
        const wire::database_answer &answer = message.answer();
        statement_answered event;
        event.connection = statements.connection;
        event.request = request_id(answer.id());
        event.result = fromWire(answer.result());
        event.entry = fromWire(answer.entry());
        event.refusedByTerm = term_number(answer.refused_by_term());
        stepEngine(statements.group, event);
    }
}

void decision_duty::onClosed(const link_closed &event)
{
    const auto found = m_links.find(event.link);
    if (found == m_links.end()) {
        return;
    }
    const link_use use = found->second;
    m_links.erase(found);
    if (std::holds_alternative<caller_link>(use)) {
        stepEntry(caller_disconnected{caller_id(event.link.value())});
        return;
    }
    if (const auto *peer = std::get_if<peer_link>(&use)) {
        if (peer->peer.value().empty()) {
            dropPeerWork(event.link);
            return;
        }
        m_peerLinks.erase(peer->peer);
        stepDistribution(source_lost{peer->peer});
        if (markUnreachable(m_directory, peer->peer, now())) {
            refreshInstances();
        }
        stepEntry(peer_disconnected{peer->peer, event.cause == failure::addressUnavailable});
        return;
    }
    if (const auto *control = std::get_if<control_link>(&use)) {
        m_controlLinks.erase(control->database);
        stepEngine(control->group, ownership_event(database_unreachable{control->database}));
        return;
    }
    const statement_link &statements = std::get<statement_link>(use);
    m_statementLinks.erase(statements.connection);
    stepEngine(statements.group, connection_closed{statements.connection});
}

void decision_duty::send(link_id link, link_message message)
{
    if (m_outputs.network.post(send_on_link{link, std::move(message)}) != failure::none) {
        writeLog(log_level::error, "decisions", "the ring to the network thread is full; a link is given up");
        onClosed({link, link_kind::peer, failure::ringFull});
        m_outputs.network.post(close_link{link});
    }
}

link_id decision_duty::openLink(link_kind kind, const std::string &address, link_use use)
{
    const link_id link(m_nextLink);
    m_nextLink += 2;
    m_links.emplace(link, std::move(use));
    m_outputs.network.post(open_link{link, kind, address});
    return link;
}

} // namespace mustardrouter
