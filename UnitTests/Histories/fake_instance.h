#pragma once

#include "fake_database.h"
#include "fake_platform.h"

#include "mustardrouter/Routing/entry_router.h"
#include "mustardrouter/Routing/group_engine.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace mustardrouter::histories
{

class fake_instance;

/// A peer connection from an entry to an owner.
struct fake_peer_connection {
    channel_ptr outbound;
    channel_ptr inbound;
    bool closed = false;
    std::set<transaction_id> transactions;
};

using peer_connection_ptr = std::shared_ptr<fake_peer_connection>;

/// State that all instances of a history share.
struct history_environment {
    event_queue &queue;
    fake_network &network;
    fake_platform &platform;
    std::mt19937 &random;
    std::vector<std::unique_ptr<fake_database>> &databases;
    std::vector<std::unique_ptr<fake_instance>> &instances;
    std::function<void(const answer_caller &)> onCallerAnswer;
    std::function<void(const std::string &)> onViolation;
    std::uint32_t confirmReplicas = 1;
    defect injected = defect::none;
};

/// One incarnation of an instance: the real entry router and group engine on a simulated network.
class fake_instance
{
public:
    fake_instance(endpoint_index index, instance_name name, history_environment &environment);

    void tick();
    void stepEntry(const entry_event &event);
    void stepEngine(const engine_event &event);

    /// Ends this incarnation: closes all connections and ignores everything that arrives later.
    void crash();
    void resetPeerConnections();
    void silenceConnections();
    void failControlConnection(database_name database);

    const instance_name &name() const
    {
        return m_name;
    }
    bool isUp() const
    {
        return m_up;
    }
    endpoint_index index() const
    {
        return m_index;
    }
    const group_engine &engine() const
    {
        return m_engine;
    }
    const entry_router &entry() const
    {
        return m_entry;
    }

private:
    struct owner_request {
        /// Null if the request came from this instance's own entry.
        peer_connection_ptr from;
        request_id entryRequest;
        statement_kind kind;
        /// Instant until which the request must be answered, unless the instance is paused.
        time_point deadline;
    };

    void apply(const engine_action &action);
    void apply(const ownership_action &action);
    void apply(const answer_request &action);
    void apply(const open_connection &action);
    void apply(const close_connection &action);
    void apply(const run_statement &action);
    void sendOrder(const database_name &database, const ownership_action &action);
    void sendHeartbeat(const send_heartbeat &action);

    void apply(const entry_action &action);
    void apply(const forward_statement &action);
    void apply(const abandon_at_owner &action);
    void apply(const find_owner &action);
    void acceptRequest(const peer_connection_ptr &from, request_id entryRequest, statement what);
    void abandonRequest(const peer_connection_ptr &from, request_id entryRequest);
    void abandonPeerRequests(const peer_connection_ptr &connection);
    peer_connection_ptr connectionTo(const instance_name &peer);
    void closePeerConnection(const instance_name &peer);
    std::optional<instance_name> believedOwner() const;

    endpoint_index m_index;
    instance_name m_name;
    history_environment &m_environment;
    entry_router m_entry;
    group_engine m_engine;
    bool m_up = true;
    std::map<request_id, owner_request> m_requests;
    std::uint64_t m_nextRequest = 1;
    std::map<database_name, control_ptr> m_controls;
    std::unordered_map<connection_id, connection_ptr> m_connections;
    std::map<instance_name, peer_connection_ptr> m_peers;
};

/// Returns the running instance of that name, or null.
fake_instance *findInstance(const history_environment &environment, const instance_name &name);

/// The group that all histories use.
inline const group_name theGroup{"group"};
/// The service that all histories use.
inline const service_name theService{"service"};

} // namespace mustardrouter::histories
