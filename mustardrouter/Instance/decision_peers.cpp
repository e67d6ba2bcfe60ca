#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/wire_codec.h"

namespace mustardrouter
{

void decision_thread::onMessage(frame_connection_id connection, wire::peer_message &message)
{
    const instance_name sender = recordSender(connection, message);
    switch (message.body_case()) {
    case wire::peer_message::kForward:
        onForward(connection, message.forward());
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
        answerEntry(event, fromWire(answer.hops()));
        break;
    }
    case wire::peer_message::kHeartbeat:
        onHeartbeat(sender, message.heartbeat());
        break;
    case wire::peer_message::kAbandon:
        onAbandon(connection, message.abandon());
        break;
    case wire::peer_message::kConfigurationRequest:
        onChangesRequest(sender, message.configuration_request());
        break;
    case wire::peer_message::kConfigurationDelta:
        onDelta(sender, message.configuration_delta());
        break;
    case wire::peer_message::kInstanceList:
        onInstanceList(message.instance_list());
        break;
    default:
        break;
    }
}

/// Returns the sender of a message. A peer introduces itself once on each connection; later messages
/// refresh its liveness in the directory, at most once an interval.
instance_name decision_thread::recordSender(frame_connection_id connection, const wire::peer_message &message)
{
    constexpr duration livenessInterval = std::chrono::seconds(1);
    auto &use = std::get<peer_connection>(m_connections.try_emplace(connection, peer_connection{}).first->second);
    if (message.has_from()) {
        use.sender = fromWire(message.from());
        use.livenessRecordedAt = time_point{};
        m_addresses[use.sender->name] = use.sender->address;
    }
    if (!use.sender) {
        return instance_name{};
    }
    instance_name sender = use.sender->name;
    if (now() - use.livenessRecordedAt < livenessInterval) {
        return sender;
    }
    use.livenessRecordedAt = now();
    if (mergeSelfReport(m_directory, *use.sender, now())) {
        refreshInstances();
    }
    return sender;
}

void decision_thread::abandonPeerRequests(frame_connection_id connection)
{
    std::vector<request_id> lost;
    for (const auto &[id, origin] : m_ownerRequests) {
        if (origin.from == connection) {
            lost.push_back(id);
        }
    }
    for (const request_id id : lost) {
        abandonRequest(id);
    }
    const auto transactions = m_peerTransactions.find(connection);
    if (transactions == m_peerTransactions.end()) {
        return;
    }
    const auto open = std::move(transactions->second);
    m_peerTransactions.erase(transactions);
    for (const auto &[group, transaction] : open) {
        stepEngine(group, transaction_abandoned{transaction});
    }
}

void decision_thread::onForward(frame_connection_id connection, const wire::forward &forward)
{
    const group_name group(forward.group());
    statement what = fromWire(forward.statement(), now());
    if (forward.has_floor()) {
        what.floor = fromWire(forward.floor());
    }
    owner_request origin;
    origin.group = group;
    origin.entryRequest = forward.id();
    origin.from = connection;
    acceptRequest(group, std::move(origin), std::move(what));
}

void decision_thread::onAbandon(frame_connection_id connection, const wire::abandon &message)
{
    const group_name group(message.group());
    if (message.transaction() != 0) {
        stepEngine(group, transaction_abandoned{transaction_id(message.transaction())});
        return;
    }
    if (const std::optional<request_id> found = findRequest(connection, message.id())) {
        abandonRequest(*found);
    }
}

void decision_thread::onHeartbeat(const instance_name &from, const wire::heartbeat &beat)
{
    const group_name group(beat.group());
    heartbeat_received event{from, term_number(beat.term()), beat.record_version(), beat.resigning()};
    stepEngine(group, ownership_event(event));
}

bool decision_thread::sendToPeer(const instance_name &peer, wire::peer_message message)
{
    const auto address = m_addresses.find(peer);
    if (address == m_addresses.end()) {
        return false;
    }
    auto connection = m_peerConnections.find(peer);
    if (connection == m_peerConnections.end()) {
        connection =
            m_peerConnections
                .emplace(peer, openConnection(connection_kind::peer, address->second, peer_connection{peer, false, std::nullopt, {}}))
                .first;
    }
    auto &use = std::get<peer_connection>(m_connections.at(connection->second));
    if (!use.identitySent) {
        use.identitySent = true;
        *message.mutable_from() = toWire(m_settings.self);
    }
    const bool isConfiguration = message.has_configuration_request() || message.has_configuration_delta() || message.has_instance_list();
    m_configurationBytes += isConfiguration ? message.ByteSizeLong() : 0;
    m_heartbeatBytes += message.has_heartbeat() ? message.ByteSizeLong() : 0;
    send(connection->second, std::move(message));
    return true;
}

} // namespace mustardrouter
