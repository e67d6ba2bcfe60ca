#include "fake_instance.h"

namespace mustardrouter::histories
{

void fake_instance::stepEntry(const entry_event &event)
{
    if (!m_up) {
        return;
    }
    entry_actions actions;
    step(m_entry, event, m_around.queue.now(), actions);
    for (const entry_action &action : actions) {
        apply(action);
    }
}

void fake_instance::apply(const entry_action &action)
{
    std::visit(
        [&](const auto &what) {
            if constexpr (std::is_same_v<std::decay_t<decltype(what)>, answer_caller>) {
                m_around.onCallerAnswer(what);
            } else {
                apply(what);
            }
        },
        action);
}

void fake_instance::apply(const find_owner &)
{
    m_around.platform.read(m_index, [this](const ownership_event &event) {
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

peer_link_ptr fake_instance::linkTo(const instance_name &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        return found->second;
    }
    const fake_instance *other = findInstance(m_around, peer);
    if (other == nullptr) {
        return nullptr;
    }
    const auto link = std::make_shared<fake_peer_link>();
    link->there = m_around.network.open(m_index, other->index());
    link->back = m_around.network.open(other->index(), m_index);
    m_peers.emplace(peer, link);
    return link;
}

void fake_instance::apply(const forward_statement &action)
{
    if (action.to == m_name) {
        acceptRequest(nullptr, action.request, action.what);
        return;
    }
    const peer_link_ptr link = linkTo(action.to);
    if (!link) {
        stepEntry(forward_failed{action.request});
        return;
    }
    const duration remaining = action.what.deadline - m_around.queue.now();
    m_around.network.send(link->there, [around = &m_around, link, action, remaining] {
        fake_instance *owner = findInstance(*around, action.to);
        if (owner == nullptr) {
            return;
        }
        // Clocks are not shared: what travels is the time that is left.
        statement what = action.what;
        what.deadline = around->queue.now() + remaining;
        owner->acceptRequest(link, action.request, std::move(what));
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
    const peer_link_ptr link = linkTo(action.to);
    if (!link) {
        return;
    }
    m_around.network.send(link->there, [around = &m_around, link, action] {
        fake_instance *owner = findInstance(*around, action.to);
        if (owner == nullptr) {
            return;
        }
        if (action.transaction.value() != 0) {
            owner->stepEngine(transaction_abandoned{action.transaction});
            return;
        }
        owner->abandonRequest(link, action.request);
    });
}

void fake_instance::closePeerLink(const instance_name &peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    const peer_link_ptr link = found->second;
    m_peers.erase(found);
    link->closed = true;
    // What was sent before still arrives, as it does over TCP.
    m_around.network.send(link->there, [around = &m_around, peer, link] {
        if (fake_instance *owner = findInstance(*around, peer)) {
            owner->dropPeerWork(link);
        }
    });
    if (m_up) {
        stepEntry(peer_disconnected{peer});
    }
}

void fake_instance::resetPeerLinks()
{
    std::vector<instance_name> peers;
    for (const auto &[name, link] : m_peers) {
        peers.push_back(name);
    }
    for (const instance_name &name : peers) {
        closePeerLink(name);
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
