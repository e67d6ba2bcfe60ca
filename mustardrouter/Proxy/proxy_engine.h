#pragma once

#include "mustardrouter/Proxy/client_session.h"
#include "mustardrouter/Proxy/database_connection.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/failover_state.h"
#include "mustardrouter/Proxy/position_samples.h"
#include "mustardrouter/Proxy/proxy_action.h"
#include "mustardrouter/Proxy/proxy_counters.h"
#include "mustardrouter/Proxy/proxy_settings.h"
#include "mustardrouter/Proxy/route_table.h"

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

/// What an instance knows of one database group.
struct group_state {
    group_name name;
    group_limits limits;
    std::map<database_name, database_state> databases;
    /// The database believed to lead; each use proves it anew.
    std::optional<database_name> primary;
    term_number primaryTerm;
    time_point primaryConfirmedAt{};
    position_samples samples;
    /// When a replica last lacked an entry that a read needed.
    time_point lagRefusedAt{};
    /// Smoothed time of a read, in microseconds.
    double smoothedReadMicros = 0;
    /// Sessions whose statement or transaction waits for a connection, oldest first.
    std::deque<session_id> waiting;
    failover_state failover;
    /// Instant of the check that is armed; the epoch when none is.
    time_point nextCheckAt{};
    /// Instant at which those that wait are looked at again at the latest.
    time_point dispatchAt{};
};

/// What a timer is for.
enum class timer_kind : std::uint8_t { session, connection, group, dispatch, warmUp };

/// One timer; what it is for is looked at again when it is due.
struct proxy_timer {
    time_point due{};
    timer_kind kind = timer_kind::session;
    std::uint64_t id = 0;
    group_name group;
    database_name database;

    bool operator>(const proxy_timer &other) const
    {
        return due > other.due;
    }
};

/// Everything that one instance decides about its clients' statements and its databases. Each
/// event appends to `actions` what is to be done, in order.
struct proxy_engine {
    explicit proxy_engine(proxy_settings engineSettings);

    proxy_settings settings;
    route_table routes;
    bool configured = false;
    bool listed = false;
    std::map<group_name, group_state> groups;
    std::unordered_map<session_id, client_session> sessions;
    std::unordered_map<database_connection_id, database_connection> connections;
    std::priority_queue<proxy_timer, std::vector<proxy_timer>, std::greater<>> timers;
    std::set<group_name> groupsToDispatch;
    /// Smoothed time of a read, by the database name that clients give, in microseconds.
    std::unordered_map<std::string, double> smoothedReadMicros;
    /// Smoothed number of statements of a transaction, by the same name.
    std::unordered_map<std::string, double> statementsPerTransaction;
    bool warmedUp = false;
    std::vector<proxy_action> actions;
    proxy_counters counters;
    std::mt19937_64 random;
    std::uint64_t nextConnectionId = 1;
    /// When the request to stop came; the epoch before.
    time_point stoppingSince{};
};

/// A version of the configuration was read; an older one is ignored.
void onConfiguration(proxy_engine &engine, const route_table &routes, time_point now);
/// The platform's list of databases was read or has changed.
void onListing(proxy_engine &engine, const database_listing &listing, time_point now);

/// A client asks for a session with a database.
void onSessionStarted(proxy_engine &engine, session_id id, const std::string &database, time_point now);
/// A client sent a statement.
void onStatement(proxy_engine &engine, session_id id, client_statement statement, time_point now);
/// A client has gone.
void onSessionClosed(proxy_engine &engine, session_id id, time_point now);

/// A connection to a database stands.
void onConnectionOpened(proxy_engine &engine, database_connection_id id, time_point now);
/// A database refused a connection.
void onConnectionRefused(proxy_engine &engine, database_connection_id id, reply_code code, time_point now);
/// A connection broke or could not be made.
void onConnectionClosed(proxy_engine &engine, database_connection_id id, time_point now);
/// A database answered.
void onDatabaseReply(proxy_engine &engine, database_connection_id id, database_reply reply, time_point now);

/// The latest claim of a group was read; revision 0 says that there is none.
void onClaimRead(proxy_engine &engine, const group_name &group, std::uint64_t revision, term_number term, time_point now);
/// The claim could not be read, or its answer was lost.
void onClaimReadFailed(proxy_engine &engine, const group_name &group, time_point now);
/// The claim was written; its revision is the fence.
void onClaimWritten(proxy_engine &engine, const group_name &group, fence_number fence, time_point now);
/// The claim was not written, or the answer was lost.
void onClaimWriteFailed(proxy_engine &engine, const group_name &group, time_point now);
/// The platform answered an order; `accepted` when it will be carried out.
void onPromotionReply(proxy_engine &engine, const group_name &group, bool accepted, time_point now);

/// The instance is to stop: sessions that rest are asked to leave.
void onStop(proxy_engine &engine, time_point now);

/// Does what is due.
void onTimer(proxy_engine &engine, time_point now);
/// When `onTimer` is to be called next.
std::optional<time_point> nextTimer(const proxy_engine &engine);

} // namespace mustardrouter
