#pragma once

#include "mustardrouter/Proxy/client_session.h"
#include "mustardrouter/Proxy/database_connection.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/failover_state.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "mustardrouter/Proxy/position_samples.h"
#include "mustardrouter/Proxy/primary_verification.h"
#include "mustardrouter/Proxy/promotion_claim.h"
#include "mustardrouter/Proxy/proxy_action.h"
#include "mustardrouter/Proxy/proxy_counters.h"
#include "mustardrouter/Proxy/proxy_settings.h"
#include "mustardrouter/Proxy/read_ranking.h"
#include "mustardrouter/Proxy/route_table.h"
#include "mustardrouter/Proxy/sent_work.h"
#include "mustardrouter/Workspaces/limit_engine.h"

#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// What the holders of a group were computed from.
struct holder_inputs {
    /// Number of the list of instances.
    std::uint64_t list = 0;
    std::uint32_t connections = 0;
    std::uint32_t slots = 0;

    bool operator==(const holder_inputs &) const = default;
};

/// State of one database group as this instance knows it.
struct group_state {
    group_name name;
    group_limits limits;
    std::map<database_name, database_state> databases;
    /// Instances that hold connections to the databases, by instance name, unless this instance is one of them or all are. Their
    /// state is kept like that of a database.
    std::map<database_name, database_state> holders;
    holder_inputs holdersComputedFrom;
    /// This instance watches the databases although others hold the connections to them; see engine_watching.cpp.
    bool watchedHere = false;
    /// Since when the primary is in doubt and no holder has told that it watches; the epoch otherwise.
    time_point unreportedSince{};
    /// The holders that serve each workspace first, as far as they were needed.
    std::map<workspace_name, std::set<database_name>> preferredHolders;
    /// The database believed to be primary; replies confirm or refute it.
    std::optional<database_name> primary;
    term_number primaryTerm;
    /// Highest term that a database has reported as its own while it was primary; zero when none has.
    term_number reportedTerm;
    time_point primaryConfirmedAt{};
    position_samples samples;
    /// When a replica last refused a read because its log lacked the floor.
    time_point lagRefusedAt{};
    /// Moving average of the duration of a read.
    double smoothedReadMicros = 0;
    /// Sessions whose statement or transaction waits for a connection, oldest first.
    std::deque<session_id> waiting;
    /// Their workspaces, as of the last dispatch.
    std::set<workspace_name> waitingWorkspaces;
    failover_state failover;
    std::optional<primary_outage> outage;
    primary_verification verification;
    /// Due time of the next group check; the epoch when there is none.
    time_point nextCheckAt{};
    /// Waiting sessions are dispatched again at this time at the latest.
    time_point dispatchAt{};
};

/// What a timer is for.
enum class timer_kind : std::uint8_t { session, connection, group, dispatch, warmUp, verification, instances, limits };

/// One timer. Timers are not cancelled: whether there is something to do is checked when they are due.
struct proxy_timer {
    time_point due{};
    timer_kind kind = timer_kind::session;
    /// Session or connection, by kind; unused by the other kinds.
    std::uint64_t id = 0;
    group_name group;
    database_name database;

    bool operator>(const proxy_timer &other) const
    {
        return due > other.due;
    }
};

/// Routes the statements of an instance's clients and manages its database connections. Each event handler appends to
/// `actions` what the caller has to do, in order.
struct proxy_engine {
    explicit proxy_engine(proxy_settings engineSettings);

    proxy_settings settings;
    route_table routes;
    bool configurationReceived = false;
    bool listingReceived = false;
    /// The store's era, when it was first seen, and whether another one was seen before.
    store_era storeEra;
    time_point storeEraSince{};
    bool storeHistoryLost = false;
    instance_listing instances;
    /// The list as it was read, while `instances` still has entries that the store has lost.
    std::optional<instance_listing> incompleteInstances;
    /// Incremented with each list of instances that differs from the one before.
    std::uint64_t instanceListNumber = 0;
    /// Groups to whose databases only some instances hold connections.
    std::set<group_name> sharedGroups;
    /// When a suspected holder was last asked whether it replies again; one question serves all groups.
    std::map<database_name, time_point> holderProbedAt;
    std::map<group_name, group_state> groups;
    std::unordered_map<session_id, client_session> sessions;
    std::unordered_map<database_connection_id, database_connection> connections;
    std::priority_queue<proxy_timer, std::vector<proxy_timer>, std::greater<>> timers;
    std::set<group_name> groupsToDispatch;
    /// Moving average of the duration of a read, by the database name that clients use.
    std::unordered_map<std::string, double> smoothedReadMicros;
    /// The shortest recent read, by the same.
    std::unordered_map<std::string, shortest_read> shortestReads;
    /// Moving average of the number of statements in a transaction, by the same name.
    std::unordered_map<std::string, double> statementsPerTransaction;
    bool warmedUp = false;
    std::vector<proxy_action> actions;
    proxy_counters counters;
    time_point unknownKeyReportedAt{};
    /// Limits of workspaces over all instances, and when their timer is due; the epoch when there is none.
    limit_engine limits;
    time_point limitTimerAt{};
    std::mt19937_64 random;
    std::uint64_t nextConnectionId = 1;
    /// When the stop request arrived; the epoch before.
    time_point stoppingSince{};
    /// Nothing is sent to databases any more: the process is about to end.
    bool exiting = false;
};

/// A version of the configuration was read; one that is not newer is ignored.
void onConfiguration(proxy_engine &engine, const route_table &routes, time_point now);
/// The platform's list of databases was read or has changed; the change was made after `changedSince`. The platform's answer with it
/// arrived `answeredAt`, here or at the instance that passed it on: entries that are missing in it count as such from then on.
void onListing(proxy_engine &engine, const database_listing &listing, time_point changedSince, time_point answeredAt, time_point now);
/// The same for an answer that arrived just now.
void onListing(proxy_engine &engine, const database_listing &listing, time_point changedSince, time_point now);

/// The store's era is known for the first time since the start of this instance.
void onFirstStoreEra(proxy_engine &engine, store_era era, time_point now);
/// The store has returned from an older copy: claims, entries of databases and of instances may be lost until they are written again.
void onStoreHistoryLost(proxy_engine &engine, store_era era, time_point now);
/// The list of instances was read or has changed.
void onInstances(proxy_engine &engine, const instance_listing &instances, time_point now);

/// Another instance opened a channel for statements that it relays.
void onRelayedSessionStarted(proxy_engine &engine, session_id id, time_point now);
/// Another instance relayed a statement of a client that had requested `database`. `floor` is the log entry up to which the client's
/// own commits go in the log of the group of `served`; `caller` is what that instance has found the client to be.
void onRelayedStatement(proxy_engine &engine,
                        session_id id,
                        const std::string &database,
                        duration timeLeft,
                        const std::optional<log_entry> &floor,
                        client_statement statement,
                        time_point now,
                        const caller_identity &caller = {},
                        const std::optional<relayed_route> &served = {});

/// A client requests a session with a database, and shows who it is by its key.
void onSessionStarted(proxy_engine &engine, session_id id, const std::string &database, time_point now, const api_key &key = {});
/// A client sent a statement.
void onStatement(proxy_engine &engine, session_id id, client_statement statement, time_point now);
/// Whether what the session's client sends next may be read: not while statements that wait for earlier ones have more than
/// `maxQueuedBytes`.
bool mayReadFrom(const proxy_engine &engine, session_id id);
/// A client's connection was closed or lost.
void onSessionClosed(proxy_engine &engine, session_id id, time_point now);

/// A connection to a database is established.
void onConnectionOpened(proxy_engine &engine, database_connection_id id, time_point now);
/// A database refused a connection.
void onConnectionRefused(proxy_engine &engine, database_connection_id id, reply_code code, time_point now);
/// A connection was lost or could not be opened.
void onConnectionClosed(proxy_engine &engine, database_connection_id id, time_point now, sent_work lastSent = sent_work::mayHaveRun);
/// The holder at the address opens no new channels on the present link.
void onHolderCloses(proxy_engine &engine, const std::string &address, time_point now);
/// A database replied to a command.
void onDatabaseReply(proxy_engine &engine, database_connection_id id, database_reply reply, time_point now);

/// The latest claim to the right to order promotions for a group was read.
void onClaimRead(proxy_engine &engine, const group_name &group, const promotion_claim &claim, time_point now);
/// The claim could not be read, or the reply was lost.
void onClaimReadFailed(proxy_engine &engine, const group_name &group, time_point now);
/// The latest claim was read as evidence, by a request of this instance that was sent at `requestedAt`; nothing when it could
/// not be read.
void onClaimVerified(
    proxy_engine &engine, const group_name &group, const std::optional<promotion_claim> &claim, time_point requestedAt, time_point now);
/// The claim was written, at this position.
void onClaimWritten(proxy_engine &engine, const group_name &group, const store_position &position, time_point now);
/// The claim was not written, or the reply was lost.
void onClaimWriteFailed(proxy_engine &engine, const group_name &group, time_point now);
/// The platform replied to a promotion order; `accepted` when it will carry it out.
void onPromotionReply(proxy_engine &engine, const group_name &group, bool accepted, time_point now);

/// Another instance sent a message about the limits of workspaces.
void onLimitMessage(proxy_engine &engine, const limit_message &message, time_point now);
/// The link to another instance was lost, or could not be opened.
void onPeerLost(proxy_engine &engine, const instance_name &peer, time_point now);

/// The instance is to stop: idle sessions are closed, and transactions get time to end.
void onStop(proxy_engine &engine, time_point now);
/// The process ends: each statement without a reply gets a last one, which says whether it may have run, and all sessions are closed.
void finishStop(proxy_engine &engine, time_point now);

/// Runs all timers that are due.
void onTimer(proxy_engine &engine, time_point now);
/// When `onTimer` has to be called next.
std::optional<time_point> nextTimer(const proxy_engine &engine);

} // namespace mustardrouter
