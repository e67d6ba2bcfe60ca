#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"
#include "mustardrouter/Proxy/read_ranking.h"
#include "mustardrouter/Workspaces/connection_share.h"
#include "mustardrouter/Workspaces/holder_affinity.h"

#include <algorithm>
#include <utility>

/// Connections that belong to workspaces; see connection_share.h and holder_affinity.h.
namespace mustardrouter::proxying
{

namespace
{

/// The inputs of the decision, and the connection that each of its indexes stands for.
struct share_view {
    share_request request;
    std::vector<database_connection_id> ids;
    /// Probes have opened more connections than statements may use.
    bool aboveLimit = false;
};

share_view shareViewOf(
    const proxy_engine &engine, const group_state &group, const database_state &database, const client_session &session, time_point now)
{
    share_view view;
    share_request &request = view.request;
    request.workspace = session.caller.workspace;
    request.waiting = &group.waitingWorkspaces;
    request.claims = &database.claims;
    request.now = now;
    bool anyForeignIdle = false;
    for (const database_connection_id id : database.connections) {
        const database_connection &connection = engine.connections.at(id);
        const bool idle = isUsableIdle(engine, connection, now);
        const bool opening = connection.state == database_connection_state::opening;
        view.ids.push_back(id);
        request.connections.push_back({connection.workspace, opening, idle, connection.since});
        anyForeignIdle = anyForeignIdle || (idle && connection.workspace != request.workspace);
    }
    connection_budget budget = budgetOf(engine, group, database, now);
    if (engine.routes.workspaces.enabled) {
        // One at a time for each workspace: the one that is being opened for another is of no use to this one.
        const auto opening = std::ranges::count_if(request.connections, [&](const shared_connection &connection) {
            return connection.opening && connection.workspace == request.workspace;
        });
        budget.opening = static_cast<std::uint32_t>(opening);
    }
    const bool databaseFull = anyForeignIdle && budget.totalConnections >= budget.totalLimit;
    request.mayOpen = mayOpenConnection(budget) && !databaseFull;
    view.aboveLimit = budget.ownConnections > budget.ownLimit;
    return view;
}

} // namespace

database_connection *findOrOpenShared(
    proxy_engine &engine, group_state &group, database_state &database, const client_session &session, time_point now)
{
    if (database.claims.empty()) {
        // Nobody else waits for a first connection: the usual case, and the only one without workspaces.
        if (database_connection *idle = findIdle(engine, database, session.values, now, &session.caller.workspace)) {
            return idle;
        }
    }
    const bool openAllowed = now >= database.openNotBefore;
    const share_view view = shareViewOf(engine, group, database, session, now);
    const share_decision decision = decideShare(view.request);
    switch (decision.step) {
    case share_step::use:
        return findIdle(engine, database, session.values, now, &session.caller.workspace);
    case share_step::open:
        if (openAllowed) {
            openConnection(engine, group, database, now, false, decision.workspace);
            settleClaim(database.claims, decision.workspace, now);
        }
        return nullptr;
    case share_step::replace:
        if (openAllowed) {
            engine.counters.connectionsReplaced += 1;
            discardConnection(engine, view.ids.at(decision.index));
            if (view.aboveLimit) {
                return findOrOpenShared(engine, group, database, session, now);
            }
            openConnection(engine, group, database, now, false, decision.workspace);
            settleClaim(database.claims, decision.workspace, now);
            return nullptr;
        }
        break;
    case share_step::wait:
        if (decision.retryAt > now && (group.dispatchAt <= now || decision.retryAt < group.dispatchAt)) {
            group.dispatchAt = decision.retryAt;
            scheduleTimer(engine, group.dispatchAt, timer_kind::dispatch, 0, group.name);
        }
        break;
    }
    claimShared(engine, database, session, now);
    return nullptr;
}

shared_option sharedOptionOf(
    const proxy_engine &engine, const group_state &group, const database_state &database, const client_session &session, time_point now)
{
    const bool anyIdle = database.claims.empty() && std::ranges::any_of(database.connections, [&](database_connection_id id) {
                             const database_connection &connection = engine.connections.at(id);
                             return connection.workspace == session.caller.workspace && isUsableIdle(engine, connection, now);
                         });
    if (anyIdle) {
        shared_option option;
        option.idle = true;
        return option;
    }
    const share_decision decision = decideShare(shareViewOf(engine, group, database, session, now).request);
    const bool yields = decision.step == share_step::replace && decision.workspace != session.caller.workspace;
    const bool openAllowed = now >= database.openNotBefore;
    const bool replaces = decision.step == share_step::replace && !yields;
    shared_option option;
    option.idle = decision.step == share_step::use || (yields && openAllowed);
    option.mayOpen = openAllowed && (decision.step == share_step::open || replaces);
    option.replaces = replaces;
    return option;
}

void claimShared(proxy_engine &engine, database_state &database, const client_session &session, time_point now)
{
    const bool hasOne = std::ranges::any_of(database.connections, [&](database_connection_id id) {
        return engine.connections.at(id).workspace == session.caller.workspace;
    });
    if (!hasOne) {
        claimConnection(database.claims, session.caller.workspace, now);
    }
}

void recordWaitingWorkspaces(proxy_engine &engine, group_state &group)
{
    group.waitingWorkspaces.clear();
    if (!engine.routes.workspaces.enabled) {
        return;
    }
    for (const session_id id : group.waiting) {
        const auto session = engine.sessions.find(id);
        if (session != engine.sessions.end()) {
            group.waitingWorkspaces.insert(session->second.caller.workspace);
        }
    }
}

const std::set<database_name> *preferredHoldersOf(proxy_engine &engine, group_state &group, const client_session &session)
{
    if (!engine.routes.workspaces.enabled) {
        return nullptr;
    }
    const workspace_name &name = session.caller.workspace;
    const auto [found, added] = group.preferredHolders.try_emplace(name);
    if (added) {
        std::vector<affinity_candidate> candidates;
        for (const auto &[holderName, holder] : group.holders) {
            const auto region = engine.settings.regions.find(holder.listed.dataCentre);
            candidates.push_back(
                {instance_name(holderName.value()), region == engine.settings.regions.end() ? std::string() : region->second});
        }
        const double share = shareOf(engine.routes.workspaces, name);
        for (const std::size_t index : preferredHolders(group.name.value(), name, share, candidates)) {
            found->second.insert(database_name(candidates[index].name.value()));
        }
    }
    return &found->second;
}

} // namespace mustardrouter::proxying
