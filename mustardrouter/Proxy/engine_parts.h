#pragma once

#include "mustardrouter/Proxy/connection_budget.h"
#include "mustardrouter/Proxy/proxy_engine.h"

#include <string>
#include <utility>
#include <vector>

/// Internal functions shared by the engine_*.cpp files.
namespace mustardrouter::proxying
{

/// Adds a timer for a session, connection or group.
void scheduleTimer(proxy_engine &engine, time_point due, timer_kind kind, std::uint64_t id, const group_name &group = {});
/// Appends an action that writes an event to the log.
void reportEvent(proxy_engine &engine, const char *event, std::vector<std::pair<const char *, std::string>> fields);
/// Formats a duration as whole milliseconds, for the log.
std::string toMillisText(duration span);

// Sessions (engine_sessions.cpp)

/// Replies to the current statement of the session and starts the next queued one.
void replyToStatement(proxy_engine &engine, client_session &session, client_reply reply, time_point now);
/// Refuses the session's current statement. Only for statements of which nothing has been or will be committed.
void refuseStatement(proxy_engine &engine, client_session &session, reply_code code, const char *reason, time_point now);
/// Replies to the session's current statement without waiting for its database any longer: as refused, unless it may be committed.
void giveUpStatement(proxy_engine &engine, client_session &session, const char *reason, time_point now);
/// Logs that it is unknown whether the session's statement was committed.
void reportInDoubt(proxy_engine &engine, const client_session &session, const database_name &from, const char *reason);
/// Ends the session's transaction and releases its connection; the database rolls back what is still open. `stateAfter` is
/// the session's new transaction state: failed or none.
void endTransaction(proxy_engine &engine, client_session &session, transaction_state stateAfter, time_point now);
/// Applies the timeouts of the session: session start, statement deadline, missing reply, idle transaction and stop.
void checkSession(proxy_engine &engine, client_session &session, time_point now);

// Runs of a read at two databases (engine_runs.cpp)

/// The run of the session's current statement on this connection; nullptr without one.
statement_run *runOn(client_session &session, database_connection_id connection);
/// Makes the run on this connection, which may be the earlier one, the latest of the session's current statement.
void makeLatestRun(client_session &session, database_connection_id connection);
/// Whether the database of the run is not known to be alive.
bool isAtSuspectedDatabase(proxy_engine &engine, const statement_run &run);
/// How long the latest run of the statement may take until it counts as overdue.
duration replyTimeoutOf(const proxy_engine &engine, const running_statement &running);
/// Queues a read whose reply is overdue for a run at another database, while the first run goes on.
void runElsewhere(proxy_engine &engine, client_session &session, time_point now);
/// Has the statement wait for its earlier run instead of another one. Returns false if there is no earlier run.
bool awaitEarlierRun(proxy_engine &engine, client_session &session, time_point now);
/// Refuses another run of the statement: the statement too, unless its earlier run goes on.
void refuseRun(proxy_engine &engine, client_session &session, reply_code code, const char *reason, time_point now);
/// Gives up the earlier run of the session's current statement, if there is one.
void releaseEarlierRun(proxy_engine &engine, client_session &session, time_point now);

// Dispatch (engine_dispatch.cpp)

/// Queues the session for a connection and marks its group for dispatch.
void queueForConnection(proxy_engine &engine, client_session &session, time_point now);
/// Dispatches the waiting sessions of the group as far as connections are available.
void dispatch(proxy_engine &engine, group_state &group, time_point now);
/// Dispatches all groups that are marked for dispatch.
void dispatchReadyGroups(proxy_engine &engine, time_point now);
/// Collects the inputs of decisions on connections to the database.
connection_budget budgetOf(const proxy_engine &engine, const group_state &group, const database_state &database, time_point now);
/// The group that serves the session's transaction or route; nullptr when the route is unknown.
group_state *groupOf(proxy_engine &engine, const client_session &session);

// Sending (engine_sending.cpp)

/// Sends a statement outside of a transaction, with the primary checks that it needs.
void sendAutocommit(proxy_engine &engine, client_session &session, database_connection &connection, time_point now);
/// Sends the BEGIN of the session's transaction.
void sendBegin(proxy_engine &engine, client_session &session, database_connection &connection, bool forReading, time_point now);
/// Sends the session's current statement on the connection that its transaction holds.
void sendInTransaction(proxy_engine &engine, client_session &session, time_point now);
/// Whether statements may be sent to the database. Invariant: there is a moment, less than the grace period ago, at which the platform's
/// store is known not to have accepted that the database leaves. The arrival of the notice is no such moment.
bool acceptsWork(const proxy_engine &engine, const database_state &database, time_point now);

// The store's history (engine_store_history.cpp)

/// From when on a claim of the store's present era shows all promotions that may still be carried out.
time_point claimsCompleteFrom(const proxy_engine &engine);
/// Before this time another instance's promotion may be under way whose claim the store has lost.
time_point promotionsAllowedFrom(const proxy_engine &engine);
/// Removes the instances that have not written their entries again in time after the store lost them.
void dropLostInstances(proxy_engine &engine, time_point now);

// Relaying (engine_relaying.cpp)

/// Computes the holders of all groups.
void updateHolders(proxy_engine &engine);
/// Whether the session's statement is to be relayed to a holder now.
bool isToBeRelayed(const group_state &group, const client_session &session, time_point now);
/// Sends the session's statement or BEGIN to a holder. Returns whether the session no longer waits.
bool dispatchRelayed(proxy_engine &engine, group_state &group, client_session &session, const route &sessionRoute, time_point now);
/// A holder replied to the session's statement outside of a transaction.
void relayedStatementAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now);
/// The holder refused a statement because it can't reach the primary.
void holderLacksPrimary(proxy_engine &engine, const database_connection &connection, time_point now);
/// Refuses a relayed statement that waits for a primary out of reach, so that it is relayed to another holder. Returns whether it
/// no longer waits.
bool refuseWithoutPrimary(proxy_engine &engine, group_state &group, client_session &session, time_point now);
/// Begins the session's transaction at another holder if the first one has refused its first statement for lack of the primary.
/// Returns false if that is not so.
bool restartElsewhere(proxy_engine &engine, database_connection &connection, client_session &session, reply_code code, time_point now);
/// Begins the transaction again elsewhere if its first statement, which has not run, is the only one; returns false otherwise. The
/// connection that it used is no longer its.
bool beginElsewhere(proxy_engine &engine, const database_connection &connection, client_session &session, duration pause, time_point now);
/// A holder closed a channel before it handled the last message on it.
void workNotHandled(
    proxy_engine &engine, database_state &holder, const database_connection &connection, sent_work lastSent, time_point now);
/// Pause before a statement that so many holders have refused is relayed to the next one.
duration pauseBeforeNextHolder(std::size_t refusals);
/// A holder refused the BEGIN of a transaction: schedules the next attempt, at another holder if there is one.
void delayBegin(proxy_engine &engine, const group_state &group, client_transaction &transaction, reply_code code, time_point now);
/// A connection to a holder can be used.
void channelOpened(proxy_engine &engine, database_connection &connection, time_point now);
/// Handles a reply from a holder that is overdue. Returns false when the holder has to be given up.
bool awaitHolder(proxy_engine &engine, group_state &group, database_state &holder, const running_statement &running, time_point now);
/// Closes the link to a holder that doesn't reply, with all connections of all groups on it.
void dropHolder(proxy_engine &engine, const database_name &name, time_point now);
/// Records for all groups that the instance of this name doesn't reply, or that it does.
void suspectHolder(proxy_engine &engine, const database_name &name, const char *reason, time_point now);
void trustHolder(proxy_engine &engine, const database_name &name, time_point now);
/// Asks the holder for a reply, on a link of its own if there is none yet.
void askHolder(proxy_engine &engine, group_state &group, database_state &holder, time_point now);
/// Asks holders that didn't reply whether they do again.
void probeHolders(proxy_engine &engine, group_state &group, time_point now);

// Who watches the databases (engine_watching.cpp)

/// Whether the group's primary is unknown, suspected, or leaves.
bool isPrimaryInDoubt(const group_state &group);
/// Whether this instance is to watch the group's databases: as a holder, or since no holder has told that it does.
bool watchesDatabases(proxy_engine &engine, group_state &group, time_point now);
/// Groups whose databases this instance does not watch; its reply to a holder's question.
std::vector<std::string> groupsWatchedElsewhere(const proxy_engine &engine);
/// A holder replied to a question and named the groups that it does not watch.
void recordWatchReport(proxy_engine &engine, const database_name &holder, const std::vector<std::string> &watchedElsewhere, time_point now);

// Connections (engine_connections.cpp)

/// The state of the database or holder that the connection leads to; nullptr when it is no longer listed.
database_state *databaseOf(proxy_engine &engine, const database_connection &connection);
/// Records that the database refused to end a transaction on the connection, or ran a statement in one that was to have ended.
void recordLeftOpen(proxy_engine &engine, database_connection &connection, reply_code code);
/// Schedules the idle check of a connection that has become idle.
void scheduleIdleCheck(proxy_engine &engine, const database_connection &connection, time_point now);

/// Commands that the instance sends to a database on its own behalf.
struct probe_request {
    /// Sends BEGIN and ROLLBACK to verify that the database is primary.
    bool primaryCheck = false;
    /// Requests its status.
    bool status = false;
    /// With the status: pauses replication until a promotion in at least this term; zero for no pause.
    term_number pauseAt{};
    /// With the status: resumes replication.
    bool resume = false;
    /// With the status: a primary of a lower term than this becomes a replica; zero for none.
    term_number stepDownAt{};
};

/// Sends the probe on the connection; its replies precede those of commands that are sent later.
void sendProbe(proxy_engine &engine, database_connection &connection, const probe_request &probe, time_point now);
/// Starts opening a connection to the database, or to the holder. It belongs to the workspace for its life.
database_connection &openConnection(proxy_engine &engine,
                                    group_state &group,
                                    database_state &database,
                                    time_point now,
                                    bool toHolder = false,
                                    const workspace_name &workspace = {});
/// Sends commands and records the replies to expect, one purpose for each command.
void sendOn(proxy_engine &engine,
            database_connection &connection,
            std::vector<database_command> commands,
            const std::vector<reply_purpose> &purposes,
            time_point now);
/// Detaches the connection from its session and rolls back a transaction that is open on it.
void releaseConnection(proxy_engine &engine, database_connection_id id, time_point now);
/// Closes and removes the connection.
void discardConnection(proxy_engine &engine, database_connection_id id);
/// Handles the timer of a connection: opening, missing reply, idle timeout, or retry inside a transaction.
void checkConnection(proxy_engine &engine, database_connection &connection, time_point now);
/// Returns an idle connection to the database, preferably one with exactly these session values; nullptr without one. For a
/// client's statement, `workspace` names the one that the connection must belong to.
database_connection *findIdle(proxy_engine &engine,
                              const database_state &database,
                              const std::map<std::string, std::string> &values,
                              time_point now,
                              const workspace_name *workspace = nullptr);
/// Whether the connection is idle and no reply to a probe on it is overdue.
bool isUsableIdle(const proxy_engine &engine, const database_connection &connection, time_point now);

// Routes (engine_routes.cpp)

/// The route that serves the session's next statement or transaction; nullptr if there is none, or if it leads to another group than
/// the instance that relays the statement has named.
const route *configuredRouteOf(const proxy_engine &engine, const client_session &session);
/// The same, with the read rule that the relaying instance demands.
std::optional<route> servedRouteOf(const proxy_engine &engine, const client_session &session);
/// Refuses a statement that has no route any more. The instance that relays it runs it elsewhere.
void refuseWithoutRoute(proxy_engine &engine, client_session &session, time_point now);
/// What a message to a holder says of the route where a statement or transaction starts; nothing inside a transaction.
std::optional<relayed_route> routeToName(const proxy_engine &engine, const database_connection &connection, const client_session &session);
/// What is known of the commits of a relayed session in the group that serves its statement, whose message has the floor.
own_commits relayedCommits(const proxy_engine &engine, const client_session &session, const std::optional<log_entry> &floor);
/// Whether the holder was found to lead the session's route to another group, and for so long that it is not asked any more.
bool hasOtherRoute(const database_state &holder, const client_session &session, time_point now);
bool isOtherRouteLasting(const database_state &holder, const client_session &session, time_point now);
/// The holder leads the route of the session's statement elsewhere, and has not run it.
void runElsewhereByRoute(proxy_engine &engine, const database_connection &connection, client_session &session, time_point now);
/// The holder leads the route of the session's transaction elsewhere. Nothing of it has run, so it begins by the present route.
void beginByPresentRoute(proxy_engine &engine, const database_connection &connection, client_session &session, time_point now);

// Replies (engine_replies.cpp)

/// Queues the statement for another attempt, which starts after `pause` at the earliest.
void retry(proxy_engine &engine, client_session &session, const database_name &from, const char *reason, duration pause, time_point now);
/// A commit of the session is acknowledged, which a database of the group, or a holder, has replied to; see own_commits.h.
void recordOwnCommit(proxy_engine &engine,
                     client_session &session,
                     const group_name &group,
                     const database_name &from,
                     const std::optional<log_entry> &position);
/// A read of the session is answered by a database of the group that is verified to be its only primary, or has the session's commits.
void recordOwnRead(proxy_engine &engine,
                   client_session &session,
                   const group_name &group,
                   const database_name &from,
                   const std::optional<log_entry> &position);
/// The client's reply with the content of a database's reply.
client_reply toClient(const database_reply &reply);
/// Tells the client that it is unknown whether its statement was committed.
void inDoubt(proxy_engine &engine, client_session &session, const database_name &from, const char *reason, time_point now);
/// The reply to the session's statement outside of a transaction is complete.
void finishAutocommit(proxy_engine &engine, database_connection &connection, client_session &session, time_point now);
/// The database or holder replied to the BEGIN of the session's transaction.
void transactionBegun(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now);
/// The database or holder replied to the session's statement inside a transaction.
void transactionAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now);

// Groups (engine_groups.cpp)

/// Records that the database is primary, as confirmed by a reply to a command sent at `requestedAt`.
void recordPrimary(proxy_engine &engine,
                   group_state &group,
                   const database_name &name,
                   const std::optional<log_entry> &position,
                   time_point requestedAt,
                   time_point now);
/// Counts and logs that another database than before is primary; called before the change.
void reportPrimaryChange(proxy_engine &engine, const group_state &group, const database_name &to, const std::string &term, time_point now);
/// Returns the group of this name, which is created when it is unknown.
group_state &findOrCreateGroup(proxy_engine &engine, const group_name &name);
/// Takes the database for the primary because it or the platform's list says so. Its replies confirm or refute this.
void assumePrimary(proxy_engine &engine, group_state &group, const database_name &name, const char *source, time_point now);
/// Records that the database refused a command because it is not primary.
void recordNotPrimary(proxy_engine &engine, group_state &group, const database_name &name, time_point now);
/// Marks the database as suspected of being unresponsive.
void markSuspected(proxy_engine &engine, group_state &group, database_state &database, const char *reason, time_point now);
/// Requests the primary's position unless such a request was sent a moment ago.
void refreshPosition(proxy_engine &engine, group_state &group, time_point now);
/// Probes suspected databases, or all when the primary is in doubt, and orders a promotion when one is needed.
void checkGroup(proxy_engine &engine, group_state &group, time_point now);
/// Opens the first connection to the database ahead of demand.
void warmUp(proxy_engine &engine, group_state &group, const database_name &name, time_point now);
/// Returns a connection for commands that ask for a database's state and occupy no slot: an idle one if possible, else one that
/// is in use outside of a transaction. Without any, starts to open one and returns nullptr.
database_connection *findForRoleCheck(proxy_engine &engine, group_state &group, database_state &database, time_point now);
/// Returns an idle connection for a probe; without one, opens a connection if possible and returns nullptr.
database_connection *findOrOpenForProbe(proxy_engine &engine, group_state &group, database_state &database, time_point now);
/// Schedules checkGroup at `due` unless it is scheduled earlier.
void scheduleGroupCheck(proxy_engine &engine, group_state &group, time_point due);

// Promotions (engine_promotion.cpp)

/// Inputs of the failover decisions about the group.
failover_view failoverViewOf(const group_state &group);
/// Begins to replace the primary for this cause, or goes on with it.
void startFailover(proxy_engine &engine, group_state &group, failover_cause cause, time_point now);
/// Reads the logs under a claim, until the promotion can be ordered or the primary can step down.
void readLogs(proxy_engine &engine, group_state &group, time_point now);
/// Orders the promotion once the successor has received all of the log of the primary that steps down.
void continueHandOver(proxy_engine &engine, group_state &group, time_point now);
/// Resumes the replication that this instance has paused for a promotion that is no longer needed, until it is known to be resumed.
void resumeReplicas(proxy_engine &engine, group_state &group, time_point now);
/// Cancels this instance's attempt to order a promotion.
void cancelFailover(proxy_engine &engine, group_state &group, const char *reason, time_point now);

// Verification of the primary (engine_verification.cpp)

/// Requests evidence from `since` on that the group's databases other than `primary` are not primary.
void demandEvidence(proxy_engine &engine, group_state &group, const database_name &primary, time_point since, time_point now);
/// Requests the claim when evidence from `since` on is to come from the store and is not under way.
void readClaimForEvidence(proxy_engine &engine, group_state &group, time_point since, time_point now);
/// Sends a plain BEGIN, whose reply tells whether the database is primary and where its log ends.
void askForRole(proxy_engine &engine, group_state &group, database_state &database, time_point now);
/// Schedules checkVerification at `due` unless it is scheduled earlier.
void scheduleVerification(proxy_engine &engine, group_state &group, time_point due);
/// Abandons the held replies of databases other than the primary.
void abandonReplaced(proxy_engine &engine, group_state &group, time_point now);
/// Holds the reply to the session's current statement until its database is verified. Delivers it at once where replaced
/// primaries step down, or if the evidence is there already.
void deliverVerified(proxy_engine &engine, group_state &group, client_session &session, held_reply reply, time_point now);
/// Adds a position to the samples once its database is verified to have been the only primary at `requestedAt`.
void addVerifiedSample(proxy_engine &engine, group_state &group, const unverified_position &position, time_point now);
/// Delivers what new evidence allows.
void releaseVerified(proxy_engine &engine, group_state &group, time_point now);
/// A database other than the one believed to be primary accepted a command that only a primary accepts: asks both for their
/// terms.
void resolveTwoPrimaries(proxy_engine &engine, group_state &group, const database_name &other, time_point now);
/// A database reported its role and term in reply to a command sent at `requestedAt`.
void recordRole(proxy_engine &engine, group_state &group, database_state &database, time_point requestedAt, time_point now);
/// Asks again for missing evidence.
void checkVerification(proxy_engine &engine, group_state &group, time_point now);
/// Whether evidence has been missing for so long that no statement should be sent that needs some.
bool isVerificationStalled(const proxy_engine &engine, const group_state &group, time_point now);

// Confirmation of commits (engine_confirmation.cpp)

/// Whether the reply acknowledges a commit that replicas, or the claim, have to confirm.
bool needsConfirmation(const proxy_engine &engine, const group_state &group, const held_reply &held);
/// Whether the commit of the held reply survives each promotion that may be carried out.
bool isConfirmed(const proxy_engine &engine, const group_state &group, const held_reply &held);
/// Asks for what is missing to confirm the commits of held replies.
void demandConfirmation(proxy_engine &engine, group_state &group, time_point now);
/// Delivers the held replies that the end of the database's log, as just reported, confirms.
void releaseConfirmed(proxy_engine &engine, group_state &group, time_point now);

} // namespace mustardrouter::proxying
