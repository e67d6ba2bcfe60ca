#pragma once

#include "mustardrouter/Admission/admission_queue.h"
#include "mustardrouter/Admission/catch_up.h"
#include "mustardrouter/Admission/connection_pool.h"
#include "mustardrouter/Admission/read_counters.h"
#include "mustardrouter/Ownership/group_ownership.h"
#include "mustardrouter/Routing/engine_action.h"
#include "mustardrouter/Routing/engine_event.h"
#include "mustardrouter/Sessions/position_history.h"
#include "mustardrouter/Sessions/session_table.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// Limits and timeouts of a group's engine.
struct engine_settings {
    std::size_t classCapacity = 4096;
    std::size_t sessionCapacity = 65536;
    /// Idle time after which a transaction is rolled back.
    duration idleInTransactionTimeout = std::chrono::seconds(10);
    /// Number of attempts after which a statement is refused instead of retried.
    std::uint32_t maxAttempts = 4;
    /// Interval between two rounds of reports while answers wait for one.
    duration roundInterval = std::chrono::milliseconds(2);
    /// Longest wait for work in flight before a group is handed over.
    duration drainTimeout = std::chrono::seconds(3);
    /// Pause before another connection is opened after a database refused one or it broke while opening.
    duration openBackoff = std::chrono::milliseconds(100);
    /// How much later than the primary a replica may be expected to answer a read, when the primary is idle and when
    /// all its slots are in use.
    duration maxReplicaDelay = std::chrono::milliseconds(25);
    duration maxReplicaDelayBusy = std::chrono::milliseconds(250);
    /// Time without an answer after which a connection is closed as unresponsive, while its database answers on others.
    duration connectionResponseTimeout = std::chrono::seconds(1);
    /// Idle time after which connections in excess of the database's slots are closed.
    duration idleConnectionTimeout = std::chrono::seconds(30);
    /// Longest wait for work in flight on a leaving primary.
    duration leavingDrainTimeout = std::chrono::seconds(1);
};

/// A request that runs on a connection, or has run and waits for confirmation.
struct running_request {
    waiting_request request;
    connection_id connection;
    database_name database;
    time_point startedAt{};
    time_point answeredAt{};
    bool abandoned = false;
};

/// A transaction that holds a connection of the primary.
struct open_transaction {
    connection_id connection;
    session_name session;
    time_point lastUsedAt{};
    bool busy = false;
    /// Position up to which its statements may have read, and the round that confirms the term. The answers to its
    /// statements wait until both are confirmed.
    log_position snapshotPosition;
    std::uint64_t round = 0;
};

/// A result that waits until enough replicas have confirmed its position and its round.
struct unconfirmed_result {
    running_request executed;
    statement_result result;
    log_position position;
    std::uint64_t round = 0;
};

/// State of one group on one instance: the ownership, and while the instance owns the group, its sessions, connections,
/// queues and transactions.
struct group_engine {
    group_engine(group_ownership ownership, const std::map<database_name, pool_limits> &limits, engine_settings settings);

    group_ownership ownership;
    engine_settings settings;
    std::map<database_name, connection_pool> pools;
    std::unordered_map<connection_id, database_name> connectionDatabases;
    admission_queue queue;
    session_table sessions;
    position_history history;
    catch_up_estimate catchUp;
    read_counters reads;
    /// When the current primary was first seen leaving; the epoch while it is not.
    time_point primaryLeavingSince{};
    /// When the rounds of reports were started; the front belongs to round `firstTrackedRound`.
    std::deque<time_point> roundStartTimes;
    std::uint64_t firstTrackedRound = 1;
    bool roundRequested = false;
    std::unordered_map<request_id, running_request> running;
    std::vector<unconfirmed_result> unconfirmed;
    std::unordered_map<transaction_id, open_transaction> transactions;
    std::uint64_t nextConnection = 1;
    std::uint64_t nextTransaction = 1;
    /// The group is being handed over: new work is refused, work in flight is finished.
    bool draining = false;
    time_point drainingSince{};
};

/// Applies new limits of the databases. Connections and statements above a lowered limit are left to end; no more are
/// started until they have.
void reconfigure(group_engine &engine, const std::map<database_name, pool_limits> &limits);

/// Handles one event and appends the actions to execute.
void step(group_engine &engine, const engine_event &event, time_point now, engine_actions &actions);

/// When the next requested round of reports may start; nothing if none is requested.
std::optional<time_point> nextRoundDue(const group_engine &engine);

/// Whether nothing is queued, running, unconfirmed or held by a transaction.
bool isIdle(const group_engine &engine);

} // namespace mustardrouter
