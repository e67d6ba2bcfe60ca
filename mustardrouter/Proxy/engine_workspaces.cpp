#include "mustardrouter/Proxy/engine_workspaces.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

namespace mustardrouter::proxying
{

namespace
{

/// Shortest time between two reports of unknown keys; clients may ask with one as often as they like.
constexpr duration unknownKeyReportInterval = std::chrono::seconds(1);

const route *routeOf(const proxy_engine &engine, const client_session &session)
{
    if (session.transaction) {
        return &session.transaction->sessionRoute;
    }
    const auto found = engine.routes.routes.find(session.database);
    return found == engine.routes.routes.end() ? nullptr : &found->second;
}

void reportWithdrawn(proxy_engine &engine, const client_session &session, const workspace_name &before)
{
    engine.counters.keysWithdrawn += 1;
    reportEvent(engine,
                "key_withdrawn",
                {{"request", session.current ? session.current->statement.id : std::string("-")},
                 {"key", toText(session.caller.key)},
                 {"workspace", before.value().empty() ? std::string("-") : before.value()},
                 {"database", session.database},
                 {"relayed", session.relayed ? "yes" : "no"}});
}

bool statementWasSent(const client_session &session)
{
    return session.current
           && (session.current->connection != database_connection_id{} || session.current->earlierRun || session.current->replyHeld);
}

/// Ends a transaction under way whose workspace is not the session's any more. What was sent before is answered: only a COMMIT
/// can have an effect, and its outcome is told.
void endForeignTransaction(proxy_engine &engine, client_session &session, time_point now)
{
    const bool commits = statementWasSent(session) && session.current->statement.verb == client_verb::commit;
    // Of one that waits, nothing has been sent: it goes on in the new workspace, or its statement is refused when it is dispatched.
    const bool waits = session.transaction->phase == transaction_phase::waitingForConnection;
    if (commits || (waits && (session.current || identify(engine, session)))) {
        return;
    }
    reportEvent(
        engine,
        "transaction_ended",
        {{"transaction", session.transaction->beginStatementId}, {"database", session.database}, {"why", "its workspace has changed"}});
    if (session.current) {
        refuseStatement(engine, session, reply_code::aborted, "the workspace of the transaction has changed", now);
        return;
    }
    endTransaction(engine, session, transaction_state::failed, now);
    session.failureUntold = true;
}

} // namespace

bool identify(proxy_engine &engine, client_session &session)
{
    const route *sessionRoute = routeOf(engine, session);
    if (sessionRoute == nullptr) {
        // Such a statement is refused in any case, for lack of the route.
        return true;
    }
    const workspace_table &table = engine.routes.workspaces;
    const std::optional<workspace_name> found = session.relayed ? workspaceOf(table, session.relayedCaller, sessionRoute->isPublic)
                                                                : workspaceOf(table, session.key, sessionRoute->isPublic);
    if (!found) {
        return false;
    }
    session.caller.workspace = *found;
    if (session.relayed || !table.enabled) {
        session.caller.key = session.relayedCaller.key;
    } else if (session.caller.key == key_digest()) {
        session.caller.key = digestOf(session.key);
    }
    return true;
}

void refuseUnidentified(proxy_engine &engine, client_session &session, time_point now)
{
    if (session.relayed) {
        refuseStatement(engine, session, reply_code::unauthorized, "the caller's key is not known here", now);
        return;
    }
    replyUnidentified(engine, session, now);
}

void replyUnidentified(proxy_engine &engine, client_session &session, time_point now)
{
    if (session.closeAt == time_point{}) {
        reportWithdrawn(engine, session, session.caller.workspace);
        countRefusal(engine.counters.workspaces, session.caller.workspace, "the key was withdrawn");
    }
    endTransaction(engine, session, transaction_state::none, now);
    // Its caller may still use the session, so a timer closes it.
    session.closeAt = now;
    scheduleTimer(engine, now, timer_kind::session, session.id.value());
    client_reply reply;
    reply.code = reply_code::unauthorized;
    reply.detail = "the key is not known any more";
    if (session.current) {
        replyToStatement(engine, session, std::move(reply), now);
        return;
    }
    reply.state = session.state;
    engine.actions.emplace_back(reply_to_client{session.id, std::move(reply)});
}

bool mayContinueTransaction(proxy_engine &engine, client_session &session)
{
    return identify(engine, session) && session.caller.workspace == session.transaction->workspace;
}

void applyWorkspaces(proxy_engine &engine, time_point now)
{
    // Refusing a statement may start the session's next one, but neither adds nor removes a session.
    for (auto &[id, session] : engine.sessions) {
        if (!session.transaction || mayContinueTransaction(engine, session)) {
            continue;
        }
        endForeignTransaction(engine, session, now);
    }
    forgetRemovedWorkspaces(engine.counters.workspaces, engine.routes.workspaces);
    for (auto &[name, group] : engine.groups) {
        group.preferredHolders.clear();
    }
}

void reportUnknownKey(proxy_engine &engine, const client_session &session, time_point now)
{
    engine.counters.unknownKeys += 1;
    if (engine.unknownKeyReportedAt != time_point{} && now - engine.unknownKeyReportedAt < unknownKeyReportInterval) {
        return;
    }
    engine.unknownKeyReportedAt = now;
    reportEvent(engine,
                "key_unknown",
                {{"key", session.key.value().empty() ? std::string("none") : toText(digestOf(session.key))},
                 {"database", session.database},
                 {"so_far", std::to_string(engine.counters.unknownKeys)}});
}

bool acceptRelayedCaller(client_session &session, const caller_identity &caller, client_verb verb)
{
    if (!session.transaction && !session.current) {
        session.relayedCaller = caller;
        return true;
    }
    const bool runsAtDatabase =
        verb == client_verb::read || verb == client_verb::write || verb == client_verb::execute || verb == client_verb::commit;
    return !runsAtDatabase || caller == session.relayedCaller;
}

} // namespace mustardrouter::proxying
