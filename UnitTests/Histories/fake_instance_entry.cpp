#include "fake_instance.h"

namespace mustardrouter::histories
{

void fake_instance::stepEntry(const entry_event &event)
{
    if (!m_up) {
        return;
    }
    entry_actions actions;
    step(m_entry, event, m_environment.queue.now(), actions);
    for (const entry_action &action : actions) {
        apply(action);
    }
}

void fake_instance::apply(const entry_action &action)
{
    std::visit(
        [&](const auto &what) {
            if constexpr (std::is_same_v<std::decay_t<decltype(what)>, answer_caller>) {
                m_environment.onCallerAnswer(what);
            } else {
                apply(what);
            }
        },
        action);
}

void fake_instance::apply(const find_owner &)
{
    m_environment.platform.read(m_index, [this](const ownership_event &event) {
        const auto *read = std::get_if<record_read>(&event);
        if (read == nullptr) {
            return;
        }
        holders_found found{theGroup, {}};
        for (const term_range &range : read->record.ranges) {
            found.holders.push_back(range.holder);
        }
        stepEntry(found);
    });
}

peer_connection_ptr fake_instance::connectionTo(const instance_name &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        return found->second;
    }
    const fake_instance *other = findInstance(m_environment, peer);
    if (other == nullptr) {
        return nullptr;
    }
    const auto connection = std::make_shared<fake_peer_connection>();
    connection->outbound = m_environment.network.open(m_index, other->index());
    connection->inbound = m_environment.network.open(other->index(), m_index);
    m_peers.emplace(peer, connection);
    return connection;
}

void fake_instance::apply(const forward_statement &action)
{
    if (action.to == m_name) {
        acceptRequest(nullptr, action.request, action.what);
        return;
    }
    const peer_connection_ptr connection = connectionTo(action.to);
    if (!connection) {
        stepEntry(forward_failed{action.request});
        return;
    }
    const duration remaining = action.what.deadline - m_environment.queue.now();
    m_environment.network.send(connection->outbound, [environment = &m_environment, connection, action, remaining] {
        fake_instance *owner = findInstance(*environment, action.to);
        if (owner == nullptr) {
            return;
        }
        // Instances have no common clock, so the remaining time is sent instead of the deadline.
        statement what = action.what;
        what.deadline = environment->queue.now() + remaining;
        owner->acceptRequest(connection, action.request, std::move(what));
    });
}

void fake_instance::apply(const abandon_at_owner &action)
{
    if (action.to == m_name) {
        if (action.transaction.value() != 0) {
            stepEngine(transaction_abandoned{action.transaction});
            return;
        }
        abandonRequest(nullptr, action.request);
        return;
    }
    const peer_connection_ptr connection = connectionTo(action.to);
    if (!connection) {
        return;
    }
    m_environment.network.send(connection->outbound, [environment = &m_environment, connection, action] {
        fake_instance *owner = findInstance(*environment, action.to);
        if (owner == nullptr) {
            return;
        }
        if (action.transaction.value() != 0) {
            owner->stepEngine(transaction_abandoned{action.transaction});
            return;
        }
        owner->abandonRequest(connection, action.request);
    });
}

void fake_instance::closePeerConnection(const instance_name &peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    const peer_connection_ptr connection = found->second;
    m_peers.erase(found);
    connection->closed = true;
    // Messages sent before the close still arrive, as over TCP.
    m_environment.network.send(connection->outbound, [environment = &m_environment, peer, connection] {
        if (fake_instance *owner = findInstance(*environment, peer)) {
            owner->abandonPeerRequests(connection);
        }
    });
    if (m_up) {
        stepEntry(peer_disconnected{peer});
    }
}

void fake_instance::resetPeerConnections()
{
    std::vector<instance_name> peers;
    for (const auto &[name, connection] : m_peers) {
        peers.push_back(name);
    }
    for (const instance_name &name : peers) {
        closePeerConnection(name);
    }
}

void fake_instance::silenceConnections()
{
    for (const auto &[id, connection] : m_connections) {
        connection->toDatabase->silent = true;
        connection->toInstance->silent = true;
    }
}

} // namespace mustardrouter::histories
