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

/// Bounds of a group's engine.
struct engine_settings {
    std::size_t laneCapacity = 4096;
    std::size_t sessionCapacity = 65536;
    /// A transaction that stays idle longer is rolled back.
    duration idleInTransactionTimeout = std::chrono::seconds(10);
    /// A statement is tried again after a refusal at most this often.
    std::uint32_t maxAttempts = 4;
    /// Between two rounds of reports while answers wait for one.
    duration roundInterval = std::chrono::milliseconds(2);
    /// Longest wait for work in flight before a group is handed over.
    duration drainTimeout = std::chrono::seconds(3);
    /// Pause before opening connections again after a database refused one.
    duration openBackoff = std::chrono::milliseconds(100);
    /// How much later than the primary a replica may answer a read, when the primary is idle and
    /// when all its slots are taken.
    duration maxReplicaDelay = std::chrono::milliseconds(25);
    duration maxReplicaDelayBusy = std::chrono::milliseconds(250);
    /// A statement without an answer for so long, while its database answers others, is lost.
    duration connectionResponseTimeout = std::chrono::seconds(1);
    /// Idle connections beyond one for each slot are closed after this time.
    duration idleConnectionTimeout = std::chrono::seconds(30);
    /// Longest wait for work in flight on a primary that leaves.
    duration leavingGracePeriod = std::chrono::seconds(1);
};

/// A request that runs on a connection, or has run and waits for its confirmation.
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
    time_point usedAt{};
    bool busy = false;
    /// What its statements may have read up to, and the round that shows the term to be current:
    /// their answers wait for both.
    log_position snapshotPosition;
    std::uint64_t round = 0;
};

/// A result that waits until enough replicas confirm its position or its round.
struct unconfirmed_result {
    running_request run;
    statement_result result;
    log_position position;
    std::uint64_t round = 0;
};

/// Everything that one instance decides about one group: its ownership, and as long as it owns
/// the group, the sessions, connections, queues and transactions.
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
    /// When the present primary was first seen to leave; the epoch while it stays.
    time_point primaryLeavingSince{};
    /// When the rounds of reports were asked for; the front belongs to round `firstTrackedRound`.
    std::deque<time_point> roundStartTimes;
    std::uint64_t firstTrackedRound = 1;
    bool roundRequested = false;
    std::unordered_map<request_id, running_request> running;
    std::vector<unconfirmed_result> unconfirmed;
    std::unordered_map<transaction_id, open_transaction> transactions;
    std::uint64_t nextConnection = 1;
    std::uint64_t nextTransaction = 1;
    /// Takes no new work: the group is being handed over.
    bool draining = false;
    time_point drainingSince{};
};

/// Takes new limits of the databases over. Connections and statements above a lower limit end by
/// themselves; no more are begun until they have.
void reconfigure(group_engine &engine, const std::map<database_name, pool_limits> &limits);

/// Advances the engine by one event and appends what is to be done.
void step(group_engine &engine, const engine_event &event, time_point now, engine_actions &actions);

/// When answers that wait for a round of reports can start one; nothing when none wait.
std::optional<time_point> nextRoundDue(const group_engine &engine);

/// Whether nothing is waiting, running, unconfirmed or held by a transaction.
bool isIdle(const group_engine &engine);

} // namespace mustardrouter
