#pragma once

#include "mustardrouter/Proxy/proxy_engine.h"

/// Whose statements the engine serves, and on which connections. Internal to the engine_*.cpp files.
namespace mustardrouter::proxying
{

/// Looks the client's key up in the present configuration and records the session's workspace. Returns false if its statements
/// must not be served. The workspace of a session is that of the statement or BEGIN that is about to be sent.
bool identify(proxy_engine &engine, client_session &session);
/// Refuses the session's current statement, which was not sent, because its key is in no workspace (any more).
void refuseUnidentified(proxy_engine &engine, client_session &session, time_point now);
/// Replies to a statement of a client whose key is in no workspace any more. The session is closed once it is idle.
void replyUnidentified(proxy_engine &engine, client_session &session, time_point now);
/// Whether the session's transaction may go on: its workspace is the one under which it began.
bool mayContinueTransaction(proxy_engine &engine, client_session &session);
/// A new configuration is in force: ends the transactions of sessions whose workspace is another than before.
void applyWorkspaces(proxy_engine &engine, time_point now);
/// Reports that a client was refused because its key is unknown; at most one line in a second.
void reportUnknownKey(proxy_engine &engine, const client_session &session, time_point now);
/// Takes over whose statement it is that another instance relays. Returns false if it can't belong to the work that is under way.
bool acceptRelayedCaller(client_session &session, const caller_identity &caller, client_verb verb);

/// Returns an idle connection to the database that the session may use, or nullptr. Then one may have been closed or opened for the
/// session's workspace, and the session has to wait.
database_connection *findOrOpenShared(
    proxy_engine &engine, group_state &group, database_state &database, const client_session &session, time_point now);
/// What the session can use or open at a database; changes nothing.
struct shared_option {
    bool idle = false;
    bool mayOpen = false;
    /// Opening takes a connection from another workspace.
    bool replaces = false;
};
shared_option sharedOptionOf(
    const proxy_engine &engine, const group_state &group, const database_state &database, const client_session &session, time_point now);
/// The session can neither use nor open a connection to the database: its workspace claims one.
void claimShared(proxy_engine &engine, database_state &database, const client_session &session, time_point now);
/// Records the workspaces whose sessions wait in the group, before they are dispatched.
void recordWaitingWorkspaces(proxy_engine &engine, group_state &group);

/// The holders that serve the session's workspace first; nullptr if any does.
const std::set<database_name> *preferredHoldersOf(proxy_engine &engine, group_state &group, const client_session &session);

} // namespace mustardrouter::proxying
