#include "mustardrouter/Proxy/engine_parts.h"

#include <utility>

/// Which route serves a statement, also where the instance that relays it and the holder have different versions of the configuration;
/// see relayed_route.h.
namespace mustardrouter::proxying
{

namespace
{

/// How long a holder that leads a route to another group gets no statement of this route while others can be asked.
constexpr duration otherRouteValidFor = std::chrono::seconds(1);
/// Once all holders have led a route elsewhere for this long, its statements run on connections of this instance: instances that can't
/// reach the store may keep an older configuration for long.
constexpr duration otherRouteWait = std::chrono::milliseconds(150);

/// The holder leads the session's route to another group, so it has run nothing; others are asked, or the database itself.
void recordOtherRoute(proxy_engine &engine, const database_connection &connection, const client_session &session, time_point now)
{
    engine.counters.relayedToOtherRoute += 1;
    database_state *holder = databaseOf(engine, connection);
    if (holder == nullptr) {
        return;
    }
    other_route &known = holder->otherRoute;
    if (known.name != session.database || now >= known.validUntil) {
        known = {session.database, now, {}};
        reportEvent(engine,
                    "holder_has_other_route",
                    {{"holder", connection.database.value()}, {"group", connection.group.value()}, {"database", session.database}});
    }
    known.validUntil = now + otherRouteValidFor;
    scheduleTimer(engine, known.since + otherRouteWait, timer_kind::dispatch, 0, connection.group);
}

} // namespace

const route *configuredRouteOf(const proxy_engine &engine, const client_session &session)
{
    const auto found = engine.routes.routes.find(session.database);
    if (found == engine.routes.routes.end()) {
        return nullptr;
    }
    const bool leadsElsewhere = session.relayedRoute && session.relayedRoute->group != found->second.group;
    return leadsElsewhere ? nullptr : &found->second;
}

std::optional<route> servedRouteOf(const proxy_engine &engine, const client_session &session)
{
    const route *configured = configuredRouteOf(engine, session);
    if (configured == nullptr) {
        return std::nullopt;
    }
    return session.relayedRoute ? stricterOf(*configured, *session.relayedRoute) : std::optional(*configured);
}

void refuseWithoutRoute(proxy_engine &engine, client_session &session, time_point now)
{
    const reply_code code = session.relayed ? reply_code::unknownDatabase : reply_code::busy;
    refuseRun(engine, session, code, "the route was removed", now);
}

std::optional<relayed_route> routeToName(const proxy_engine &engine, const database_connection &connection, const client_session &session)
{
    if (session.transaction && session.transaction->phase == transaction_phase::ready) {
        return std::nullopt;
    }
    const route *served = session.transaction ? &session.transaction->sessionRoute : configuredRouteOf(engine, session);
    if (served == nullptr) {
        return std::nullopt;
    }
    return relayed_route{connection.group, served->rule, served->maxAge};
}

own_commits relayedCommits(const proxy_engine &engine, const client_session &session, const std::optional<log_entry> &floor)
{
    own_commits commits;
    const route *configured = configuredRouteOf(engine, session);
    if (configured == nullptr) {
        return commits;
    }
    if (!session.relayedRoute) {
        // A floor without its group can't be compared with any log.
        if (floor) {
            recordCommit(commits, configured->group, unknownEntry);
        }
    } else if (floor || session.relayedRoute->rule != read_rule::session) {
        // The floor is sent only for the read rule that needs it; the rule of this instance may.
        recordCommit(commits, configured->group, floor);
    }
    return commits;
}

bool hasOtherRoute(const database_state &holder, const client_session &session, time_point now)
{
    return now < holder.otherRoute.validUntil && holder.otherRoute.name == session.database;
}

bool isOtherRouteLasting(const database_state &holder, const client_session &session, time_point now)
{
    return hasOtherRoute(holder, session, now) && now - holder.otherRoute.since >= otherRouteWait;
}

void runElsewhereByRoute(proxy_engine &engine, const database_connection &connection, client_session &session, time_point now)
{
    running_statement &running = *session.current;
    recordOtherRoute(engine, connection, session, now);
    running.excludedDatabases.push_back(connection.database);
    retry(engine, session, connection.database, "holder has another route", pauseBeforeNextHolder(running.excludedDatabases.size()), now);
}

void beginByPresentRoute(proxy_engine &engine, const database_connection &connection, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    recordOtherRoute(engine, connection, session, now);
    if (const route *present = configuredRouteOf(engine, session)) {
        transaction.sessionRoute = *present;
    }
    transaction.notBefore = now + pauseBeforeNextHolder(transaction.excludedDatabases.size());
    scheduleTimer(engine, transaction.notBefore, timer_kind::dispatch, 0, transaction.sessionRoute.group);
}

} // namespace mustardrouter::proxying
