#pragma once

#include "mustardrouter/Proxy/connection_budget.h"
#include "mustardrouter/Proxy/proxy_engine.h"

#include <string>
#include <utility>
#include <vector>

/// Steps that the files of the engine share; not for use outside of this module.
namespace mustardrouter::proxying
{

/// Arms a timer.
void scheduleTimer(proxy_engine &engine, time_point due, timer_kind kind, std::uint64_t id, const group_name &group = {});
/// Tells the log.
void reportEvent(proxy_engine &engine, const char *event, std::vector<std::pair<const char *, std::string>> fields);
/// Milliseconds as text, for the log.
std::string toMillisText(duration span);

// Sessions (engine_sessions.cpp)

/// Answers the statement of a session that runs or waits, and takes the next one.
void replyToStatement(proxy_engine &engine, client_session &session, client_reply reply, time_point now);
/// Refuses the statement truthfully: nothing of the attempt is kept.
void refuseStatement(proxy_engine &engine, client_session &session, reply_code code, const char *reason, time_point now);
/// Tells the log that nobody knows whether the session's statement is kept.
void reportInDoubt(proxy_engine &engine, const client_session &session, const database_name &from, const char *reason);
/// Ends the session's transaction; the database rolls back what is open. The session is left failed or without one.
void endTransaction(proxy_engine &engine, client_session &session, transaction_state stateAfter, time_point now);
/// Looks at deadlines, rests and the wish to stop.
void checkSession(proxy_engine &engine, client_session &session, time_point now);

// Placement (engine_placement.cpp)

/// Puts the session in line for a connection and tries at once.
void queueForConnection(proxy_engine &engine, client_session &session, time_point now);
/// Sends the transaction's statement on the connection that it holds.
void sendInTransaction(proxy_engine &engine, client_session &session, time_point now);
/// Places as many of the waiting as there are connections for.
void dispatch(proxy_engine &engine, group_state &group, time_point now);
/// Works off the groups that may place more.
void dispatchReadyGroups(proxy_engine &engine, time_point now);
/// What is known for decisions about connections to the database.
connection_budget budgetOf(const proxy_engine &engine, const group_state &group, const database_state &database, time_point now);
/// The group that serves the session's present work, or nothing.
group_state *groupOf(proxy_engine &engine, const client_session &session);

// Links (engine_links.cpp)

/// What the instance asks a database for itself.
struct probe_request {
    /// Whether it leads.
    bool primaryCheck = false;
    /// Its status.
    bool status = false;
    /// With the status, stop it from receiving until it is promoted in a term of at least this; zero for not.
    term_number pauseAt;
    /// With the status, let it receive again.
    bool resume = false;
};

/// Asks the database on the connection; the answers come before those of what is sent later.
void sendProbe(proxy_engine &engine, database_connection &connection, const probe_request &probe, time_point now);
/// Opens a connection to the database.
database_connection &openConnection(proxy_engine &engine, group_state &group, database_state &database, time_point now);
/// Sends commands and notes what answers they owe.
void sendOn(proxy_engine &engine,
            database_connection &connection,
            std::vector<database_command> commands,
            const std::vector<reply_purpose> &purposes,
            time_point now);
/// Gives the connection back, ending what is open on it.
void releaseConnection(proxy_engine &engine, database_connection_id id, time_point now);
/// Closes the connection and forgets it.
void discardConnection(proxy_engine &engine, database_connection_id id);
/// Looks at an opening or abandoned connection.
void checkConnection(proxy_engine &engine, database_connection &connection, time_point now);
/// An idle connection of the database; the one whose session values fit best.
database_connection *findIdle(proxy_engine &engine, const database_state &database, const std::map<std::string, std::string> &values);

// Groups (engine_groups.cpp)

/// The database leads: it said so to a question sent at `requestedAt`.
void recordPrimary(proxy_engine &engine,
                   group_state &group,
                   const database_name &name,
                   const std::optional<log_entry> &position,
                   time_point requestedAt,
                   time_point now);
/// The group of this name; made when it is not known yet.
group_state &findOrCreateGroup(proxy_engine &engine, const group_name &name);
/// Sends what needs the primary there from now on: the database calls itself primary. Each use proves it.
void assumePrimary(proxy_engine &engine, group_state &group, const database_name &name, const char *source, time_point now);
/// The database refused as one that does not lead.
void recordNotPrimary(proxy_engine &engine, group_state &group, const database_name &name, time_point now);
/// The database owes a sign of life.
void markSuspected(proxy_engine &engine, group_state &group, database_state &database, const char *reason, time_point now);
/// Asks the primary for its position, if no such question is on its way.
void refreshPosition(proxy_engine &engine, group_state &group, time_point now);
/// Probes what is in doubt and orders a promotion when it is due.
void checkGroup(proxy_engine &engine, group_state &group, time_point now);
/// Opens the first connection to the database, ahead of demand.
void warmUp(proxy_engine &engine, group_state &group, const database_name &name, time_point now);
/// Calls checkGroup soon.
void scheduleGroupCheck(proxy_engine &engine, group_state &group, time_point due);

} // namespace mustardrouter::proxying
