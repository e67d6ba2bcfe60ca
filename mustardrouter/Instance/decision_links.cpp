#include "mustardrouter/Instance/decision_duty.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Runtime/log.h"

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
    m_links.try_emplace(link, caller_link{});
    const wire::statement &message = request.statement();
    caller_sent sent;
    sent.caller = caller_id(link.value());
    sent.callerRequest = request.id();
    sent.callerName = message.caller();
    sent.partition = message.partition();
    sent.token = message.session_token();
    sent.hasReadRule = message.policy().empty();
    sent.patience = std::chrono::milliseconds(message.deadline_ms());
    sent.what = fromWire(message, now());
    const trace_context parent = parseTraceParent(message.trace_parent());
    const trace_context context = newSpan(parent);
    if (context.sampled) {
        sent.what.traceParent = toTraceParent(context);
        m_entryTraces[{link.value(), request.id()}] = {context, parent.spanId, unixNanos()};
    }
    stepEntry(sent);
}

void decision_duty::onMessage(link_id, wire::caller_response &)
{
    // Callers send requests; the parser of caller links yields nothing else.
}

void decision_duty::onMessage(link_id link, wire::peer_message &message)
{
    m_links.try_emplace(link, peer_link{});
    if (message.has_from()) {
        const wire::instance_location &from = message.from();
        m_addresses[instance_name(from.name())] = from.address();
        instance_view view{instance_name(from.name()), from.address(), from.place(), from.incarnation(), from.leaving()};
        if (mergeInstance(m_directory, view)) {
            updateRankings();
        }
    }
    switch (message.body_case()) {
    case wire::peer_message::kForward:
        onForward(link, message.forward());
        break;
    case wire::peer_message::kForwardAnswer: {
        const wire::forward_answer &answer = message.forward_answer();
        owner_answered event{request_id(answer.id()), fromWire(answer.result()), std::nullopt};
        if (answer.has_floor()) {
            event.result.floor = fromWire(answer.floor());
        }
        if (!answer.owner().empty()) {
            event.owner = instance_name(answer.owner());
        }
        stepEntry(event);
        break;
    }
    case wire::peer_message::kHeartbeat:
        onHeartbeat(instance_name(message.from().name()), message.heartbeat());
        break;
    case wire::peer_message::kAbandon:
        onAbandon(link, message.abandon());
        break;
    default:
        break;
    }
}

void decision_duty::onMessage(link_id link, wire::database_message &message)
{
    const auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    if (const auto *control = std::get_if<control_link>(&found->second)) {
        if (message.has_report()) {
            stepEngine(control->group, ownership_event(database_reported{control->database, fromWire(message.report())}));
        }
        return;
    }
    const auto *use = std::get_if<statement_link>(&found->second);
    if (use == nullptr) {
        return;
    }
    const statement_link statements = *use;
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
        stepEntry(caller_gone{caller_id(event.link.value())});
        return;
    }
    if (const auto *peer = std::get_if<peer_link>(&use)) {
        if (peer->peer.value().empty()) {
            dropPeerWork(event.link);
            return;
        }
        m_peerLinks.erase(peer->peer);
        stepEntry(peer_lost{peer->peer});
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

void decision_duty::dropPeerWork(link_id link)
{
    std::vector<owner_request> lost;
    for (const auto &[id, origin] : m_ownerRequests) {
        if (origin.from == link) {
            lost.push_back(origin);
        }
    }
    for (const owner_request &origin : lost) {
        abandonRequest(origin);
    }
    const auto transactions = m_peerTransactions.find(link);
    if (transactions == m_peerTransactions.end()) {
        return;
    }
    const auto open = std::move(transactions->second);
    m_peerTransactions.erase(transactions);
    for (const auto &[group, transaction] : open) {
        stepEngine(group, transaction_abandoned{transaction});
    }
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

void decision_duty::onForward(link_id link, const wire::forward &forward)
{
    const group_name group(forward.group());
    statement what = fromWire(forward.statement(), now());
    if (forward.has_floor()) {
        what.floor = fromWire(forward.floor());
    }
    owner_request origin;
    origin.group = group;
    origin.entryRequest = forward.id();
    origin.from = link;
    acceptRequest(group, std::move(origin), std::move(what));
}

void decision_duty::onAbandon(link_id link, const wire::abandon &message)
{
    const group_name group(message.group());
    if (message.transaction() != 0) {
        stepEngine(group, transaction_abandoned{transaction_id(message.transaction())});
        return;
    }
    for (const auto &[id, origin] : m_ownerRequests) {
        if (origin.from == link && origin.entryRequest == message.id()) {
            abandonRequest(owner_request(origin));
            return;
        }
    }
}

void decision_duty::onHeartbeat(const instance_name &from, const wire::heartbeat &beat)
{
    const group_name group(beat.group());
    heartbeat_received event{from, term_number(beat.term()), beat.record_version(), beat.resigning()};
    stepEngine(group, ownership_event(event));
}

bool decision_duty::sendToPeer(const instance_name &peer, wire::peer_message message)
{
    const auto address = m_addresses.find(peer);
    if (address == m_addresses.end()) {
        return false;
    }
    wire::instance_location &from = *message.mutable_from();
    from.set_name(m_identity.self.name.value());
    from.set_address(m_identity.self.address);
    from.set_place(m_identity.self.place);
    from.set_incarnation(m_identity.self.incarnation);
    from.set_leaving(m_identity.self.leaving);
    auto link = m_peerLinks.find(peer);
    if (link == m_peerLinks.end()) {
        link = m_peerLinks.emplace(peer, openLink(link_kind::peer, address->second, peer_link{peer})).first;
    }
    send(link->second, std::move(message));
    return true;
}

} // namespace mustardrouter
