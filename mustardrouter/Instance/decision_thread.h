#pragma once

#include "mustardrouter/Configuration/distribution.h"
#include "mustardrouter/Instance/discovery_thread.h"
#include "mustardrouter/Instance/network_event.h"
#include "mustardrouter/Instance/network_thread.h"
#include "mustardrouter/Instance/operator_command.h"
#include "mustardrouter/Instance/platform_thread.h"
#include "mustardrouter/Instance/request_hops.h"
#include "mustardrouter/Instance/telemetry_thread.h"
#include "mustardrouter/Instance/trace_budget.h"
#include "mustardrouter/Instance/wakeup_list.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Routing/entry_router.h"
#include "mustardrouter/Routing/group_engine.h"
#include "mustardrouter/Runtime/metrics.h"
#include "mustardrouter/Runtime/recent_traces.h"
#include "mustardrouter/Runtime/ring.h"

#include <json/value.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace mustardrouter
{

/// Maximum number of request traces recorded per second.
constexpr std::uint32_t maxTracesPerSecond = 500;

/// Input rings of the decision thread.
struct decision_inputs {
    explicit decision_inputs(std::size_t capacity);

    ring_signal signal;
    ring<network_event> networkEvents;
    ring<platform_event> recordEvents;
    ring<platform_event> discoveryEvents;
    ring<operator_command> commands;
};

/// Threads and shared objects to which the decision thread sends its output.
struct decision_outputs {
    network_thread &network;
    platform_thread &platform;
    telemetry_thread &telemetry;
    metrics &instanceMetrics;
    recent_traces &recent;
    discovery_thread &discovery;
};

/// This instance's identity and the settings that the decision thread uses.
struct decision_settings {
    instance_view self;
    std::string tokenKey;
    /// Probability that a request is traced.
    double traceSampleRate = 0;
    /// Peer addresses to request the configuration from while no other source is known, until a stable instance list
    /// includes this instance.
    std::vector<std::string> seeds;
};

/// The thread that runs all decision modules of an instance: the entry router, one engine per group, the configuration
/// distribution and the instance directory. All their actions are applied here.
class decision_thread
{
public:
    decision_thread(decision_settings settings, decision_inputs &inputs, decision_outputs outputs);
    ~decision_thread();
    decision_thread(const decision_thread &) = delete;
    decision_thread &operator=(const decision_thread &) = delete;

    void start();
    void stop();
    /// Whether draining has finished: no group is owned, no request or transaction is open, and callers have disconnected or
    /// timed out. Thread-safe.
    bool isDrained() const;
    /// Revision of the configuration in force. Thread-safe.
    std::uint64_t revision() const;
    /// Returns the current status for operators; after `statusTimeout` without an answer, the previous one. Thread-safe.
    Json::Value status();

private:
    /// A request that an engine processes, and where to send its answer.
    struct owner_request {
        group_name group;
        /// Number assigned by the entry that sent it.
        std::uint64_t entryRequest = 0;
        /// The peer's connection; empty for this instance's own entry.
        std::optional<frame_connection_id> from;
        statement_kind kind = statement_kind::read;
        /// Why the database was chosen; points to a string literal.
        const char *reason = "";
    };

    struct caller_connection {
    };
    struct peer_connection {
        /// Set on connections that this instance opened.
        instance_name peer;
        /// Whether this instance's identity has been sent to the peer.
        bool identitySent = false;
        /// Identity received from the peer on an accepted connection.
        std::optional<instance_view> sender;
        time_point livenessRecordedAt{};
    };
    struct control_connection {
        group_name group;
        database_name database;
    };
    struct statement_connection {
        group_name group;
        connection_id poolConnection;
    };
    using connection_use = std::variant<caller_connection, peer_connection, control_connection, statement_connection>;

    void run();
    time_point now() const;
    std::chrono::microseconds timeToWait() const;
    void startDueRounds();
    static std::uint64_t unixNanos();

    // Connections.
    void onNetworkEvent(network_event &event);
    void onMessage(frame_connection_id connection, wire::caller_request &request);
    void onMessage(frame_connection_id connection, wire::peer_message &message);
    void onMessage(frame_connection_id connection, wire::database_message &message);
    void onMessage(frame_connection_id connection, wire::caller_response &response);
    void onClosed(const frame_connection_closed &event);
    void abandonPeerRequests(frame_connection_id connection);
    instance_name recordSender(frame_connection_id connection, const wire::peer_message &message);
    void send(frame_connection_id connection, connection_message message);
    frame_connection_id openConnection(connection_kind kind, const std::string &address, connection_use use);

    // Peers.
    void onForward(frame_connection_id connection, const wire::forward &forward);
    void onAbandon(frame_connection_id connection, const wire::abandon &message);
    void onHeartbeat(const instance_name &from, const wire::heartbeat &beat);
    bool sendToPeer(const instance_name &peer, wire::peer_message message);

    // Platform and operators.
    void onPlatform(platform_event &event);
    void assumeHolders(const group_name &group, const std::vector<term_range> &ranking);
    void onCommand(const operator_command &command);
    void beginDraining();
    void sendShutdownNotice(frame_connection_id caller);
    bool hasCallers() const;
    void post(platform_job job);

    // Configuration and membership.
    void stepDistribution(const distribution_event &event);
    void apply(const adopt_configuration &action);
    void apply(const request_changes &action);
    void apply(const send_changes &action);
    void apply(const poll_platform &action);
    void apply(const watch_platform &action);
    void onDelta(const instance_name &from, const wire::configuration_delta &message);
    void onChangesRequest(const instance_name &from, const wire::configuration_request &message);
    void sendInstances(const instance_name &to);
    void onInstanceList(const wire::instance_list &message);
    void applyInstanceList(const std::vector<instance_view> &list);
    /// Updates rankings and sources after a change in the directory.
    void refreshInstances();
    void chooseSources();
    void adopt(const std::shared_ptr<const configuration_snapshot> &snapshot);
    void adoptGroup(const group_name &key, const database_group &group);
    void dropRemovedGroups();
    void updateRankings();

    // Engines.
    void stepEngine(const group_name &group, const engine_event &event);
    void apply(const group_name &group, engine_action &action);
    void apply(const group_name &group, ownership_action &action);
    void apply(const group_name &group, const read_record &action);
    void apply(const group_name &group, const write_record &action);
    void apply(const group_name &group, const order_report &action);
    void apply(const group_name &group, const replace_control_connection &action);
    void apply(const group_name &group, const order_fence &action);
    void apply(const group_name &group, const order_promote &action);
    void apply(const group_name &group, const order_follow &action);
    void apply(const group_name &group, const send_heartbeat &action);
    void apply(const group_name &group, const term_started &action);
    void apply(const group_name &group, const term_ended &action);
    void apply(const group_name &group, const ownership_log_message &action);
    void apply(const group_name &group, const open_connection &action);
    void apply(const group_name &group, const close_connection &action);
    void apply(const group_name &group, run_statement &action);
    void apply(const group_name &group, answer_request &action);
    void sendOrder(const group_name &group, const database_name &database, wire::database_order order);
    void acceptRequest(const group_name &group, owner_request origin, statement what);
    std::optional<request_id> findRequest(std::optional<frame_connection_id> from, std::uint64_t entryRequest) const;
    void abandonRequest(request_id id);
    std::optional<instance_name> believedOwner(const group_name &group) const;
    void closeControlConnections(const group_name &group);
    const database *findConfigured(const group_name &group, const database_name &name) const;

    // Entry.
    void stepEntry(const entry_event &event);
    void answerEntry(const owner_answered &event, request_hops hops);
    void apply(forward_statement &action);
    void apply(const find_owner &action);
    void apply(answer_caller &action);
    void apply(const abandon_at_owner &action);

    // Telemetry.
    void publishMetrics();
    void publishGroupMetrics(const group_name &group, const group_engine &engine);
    void answerStatus();
    Json::Value makeStatus() const;
    Json::Value makeGroupStatus(const group_engine &engine) const;
    trace_context newSpan(const trace_context &parent);
    bool wantsTrace(const answer_caller &action, bool sampled);
    request_trace makeTrace(const answer_caller &action, const trace_context &parent);
    void traceAnswer(const answer_caller &action);
    std::string newId(std::size_t digitCount);

    decision_settings m_settings;
    decision_inputs &m_inputs;
    decision_outputs m_outputs;

    entry_router m_entry;
    std::map<group_name, group_engine> m_engines;
    wakeup_list m_wakeups;
    /// Groups whose pending answers depend on the next round of reports, and when it is due.
    std::map<group_name, time_point> m_roundsDue;
    instance_directory m_directory;
    /// Contents of the directory at the last refreshInstances().
    std::vector<instance_view> m_allInstances;
    std::vector<instance_view> m_liveInstances;
    /// Value of m_listed at the last refreshInstances().
    bool m_listedAtLastRanking = false;
    std::vector<instance_view> m_lastList;
    time_point m_listChangedAt{};
    distribution m_distribution;
    /// Groups removed from the configuration, and the deadline for their remaining work.
    std::map<group_name, time_point> m_removedGroups;
    /// Gives each engine its own range of connection ids.
    std::uint64_t m_enginesCreated = 0;
    /// Bytes of configuration and membership messages sent to peers.
    std::uint64_t m_configurationBytes = 0;
    std::uint64_t m_heartbeatBytes = 0;
    /// Addresses of instances, also of those known only from records and messages.
    std::map<instance_name, std::string> m_addresses;
    std::shared_ptr<const configuration_snapshot> m_configuration;
    std::set<group_name> m_recordsRequestedByEntry;

    std::unordered_map<frame_connection_id, connection_use> m_connections;
    std::map<instance_name, frame_connection_id> m_peerConnections;
    std::map<database_name, frame_connection_id> m_controlConnections;
    std::unordered_map<connection_id, frame_connection_id> m_statementConnections;
    std::uint64_t m_nextConnection = 1;

    std::unordered_map<request_id, owner_request> m_ownerRequests;
    std::map<frame_connection_id, std::set<std::pair<group_name, transaction_id>>> m_peerTransactions;
    std::uint64_t m_nextOwnerRequest = 1;
    /// Trace contexts sent by callers, by the caller's connection and request number.
    std::map<std::pair<std::uint64_t, std::uint64_t>, trace_context> m_entryTraces;
    /// Timings from the owner for the request whose answer is being applied.
    std::optional<request_hops> m_currentTimings;
    trace_budget m_traceBudget{maxTracesPerSecond};
    std::uint64_t m_spansDropped = 0;
    /// Groups whose metrics this instance publishes.
    std::set<group_name> m_servedGroups;

    std::mt19937_64 m_random;
    /// Whether a stable instance list has included this instance.
    bool m_listed = false;
    bool m_draining = false;
    time_point m_drainingSince{};
    std::atomic<bool> m_drained{false};
    std::atomic<std::uint64_t> m_revision{0};
    mutable std::mutex m_statusMutex;
    std::condition_variable m_statusPublished;
    /// Number of status() calls so far, and how many of them the last status covers.
    std::uint64_t m_statusRequested = 0;
    std::uint64_t m_statusAnswered = 0;
    Json::Value m_status;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mustardrouter
