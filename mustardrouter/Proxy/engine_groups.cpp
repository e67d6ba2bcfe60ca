#include "mustardrouter/Proxy/engine_limits.h"
#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace proxying;

/// Time after which the primary's position is requested again when no reply has arrived.
constexpr duration positionRetryInterval = std::chrono::milliseconds(200);
/// Connections that probes may open beyond the limit for statements.
constexpr std::uint32_t maxProbeConnections = 1;

void updateLimits(proxy_engine &engine)
{
    for (auto &[name, group] : engine.groups) {
        const auto limits = engine.routes.groups.find(name);
        if (limits != engine.routes.groups.end()) {
            group.limits = limits->second;
        }
    }
}

/// Closes the connections to a previous incarnation or address of the database.
void closeConnections(proxy_engine &engine, database_state &database, time_point now)
{
    const std::vector<database_connection_id> connections = database.connections;
    for (const database_connection_id id : connections) {
        engine.actions.emplace_back(close_database_connection{id});
        onConnectionClosed(engine, id, now);
    }
}

/// Whether the entry is older than the known one, as the store's list may be when it is read late or returns from a copy.
bool isOutdated(const proxy_engine &engine, const listed_database &known, const listed_database &listed, time_point now)
{
    if (known.incarnation == listed.incarnation) {
        return known.incarnation != 0 && listed.sequence < known.sequence;
    }
    const bool mayBeLost = engine.storeHistoryLost && now - engine.storeEraSince < engine.settings.entriesRewrittenWithin;
    return mayBeLost && listed.incarnation < known.incarnation;
}

void updateDatabase(proxy_engine &engine, group_state &group, const listed_database &listed, time_point changedSince, time_point now)
{
    const auto [found, added] = group.databases.try_emplace(listed.name);
    database_state &database = found->second;
    if (added) {
        reportEvent(
            engine,
            "database_listed",
            {{"database", listed.name.value()}, {"group", group.name.value()}, {"role", listed.reportsPrimary ? "primary" : "replica"}});
    }
    const bool restarted = !added && listed.incarnation != database.listed.incarnation;
    const bool addressChanged = !added && listed.address != database.listed.address;
    const bool becamePrimary = !added && listed.reportsPrimary && !database.listed.reportsPrimary;
    if (!added && isOutdated(engine, database.listed, listed, now)) {
        database.unlistedSince = time_point{};
        return;
    }
    const bool startsLeaving = listed.leaving && (added || !database.listed.leaving);
    database.listed = listed;
    database.unlistedSince = time_point{};
    if (restarted || addressChanged) {
        reportEvent(engine, "database_started_again", {{"database", listed.name.value()}});
        closeConnections(engine, database, now);
        database.status.reset();
        database.logEnd.reset();
        database.startedAgainAt = now;
    }
    if (startsLeaving) {
        database.leavingSince = changedSince;
        reportEvent(engine, "database_leaves", {{"database", listed.name.value()}, {"at_most_ms_ago", toMillisText(now - changedSince)}});
        scheduleGroupCheck(engine, group, now);
    }
    if (becamePrimary || (listed.reportsPrimary && !group.primary)) {
        if (group.primary && !engine.settings.replacedPrimariesStepDown && group.holders.empty()) {
            resolveTwoPrimaries(engine, group, listed.name, now);
        } else {
            assumePrimary(engine, group, listed.name, "list", now);
        }
    }
}

/// How long a database may be used that is listed no longer. The same invariant holds as for one that leaves (acceptsWork), unless the
/// store could not be asked: an entry that expired then is back soon.
time_point usableUntil(const proxy_engine &engine, time_point listedUntil, time_point missingSince)
{
    const time_point lapses = missingSince + engine.settings.unlistedValidFor;
    const time_point end = listedUntil + engine.settings.leavingGracePeriod;
    return missingSince < end ? std::min(lapses, end) : lapses;
}

void removeUnlisted(proxy_engine &engine, group_state &group, time_point now)
{
    for (auto it = group.databases.begin(); it != group.databases.end();) {
        database_state &database = it->second;
        if (database.unlistedSince == time_point{} || now < database.unlistedUntil) {
            ++it;
            continue;
        }
        reportEvent(engine, "database_gone", {{"database", database.listed.name.value()}, {"group", group.name.value()}});
        if (group.primary == it->first) {
            group.primary.reset();
            scheduleGroupCheck(engine, group, now);
        }
        // Running statements finish on their connections; idle and opening connections are closed.
        const std::vector<database_connection_id> connections = database.connections;
        for (const database_connection_id id : connections) {
            if (engine.connections.at(id).state == database_connection_state::idle
                || engine.connections.at(id).state == database_connection_state::opening) {
                discardConnection(engine, id);
            }
        }
        it = group.databases.erase(it);
    }
}

/// Schedules the opening of the first connections, once, when the databases and their limits are known.
void scheduleWarmUp(proxy_engine &engine, time_point now)
{
    if (engine.warmedUp || !engine.settings.warmUpEnabled || !engine.configurationReceived || engine.groups.empty()) {
        return;
    }
    engine.warmedUp = true;
    const auto spread = static_cast<std::uint64_t>(engine.settings.warmUpJitter.count());
    for (const auto &[name, group] : engine.groups) {
        for (const auto &[databaseName, database] : group.databases) {
            const duration wait(static_cast<std::int64_t>(engine.random() % spread));
            engine.timers.push({now + wait, timer_kind::warmUp, 0, name, databaseName});
        }
    }
}

void probeDatabase(proxy_engine &engine, group_state &group, database_state &database, bool requestsStatus, time_point now)
{
    if (database.probedAt != time_point{} && now - database.probedAt < engine.settings.probeInterval) {
        return;
    }
    database_connection *connection = findOrOpenForProbe(engine, group, database, now);
    if (connection == nullptr) {
        return;
    }
    database.probedAt = now;
    const bool isPrimary = group.primary == database.listed.name;
    connection->state = database_connection_state::busy;
    probe_request probe;
    probe.primaryCheck = isPrimary || !group.primary;
    // A probe without any command would leave its connection waiting for ever.
    probe.status = !isPrimary && (requestsStatus || !probe.primaryCheck);
    // With synchronous replicas, replication is paused while the primary is out of reach, so that it acknowledges nothing that the
    // successor lacks.
    const bool pauses = group.limits.syncReplicas > 0 && group.failover.cause != failover_cause::none;
    if (pauses && !isPrimaryInReach(failoverViewOf(group))) {
        database.pausedAt = now;
        probe.pauseAt = term_number(std::max(group.primaryTerm, highestTerm(failoverViewOf(group))).value() + 1);
    }
    sendProbe(engine, *connection, probe, now);
}

} // namespace

void onConfiguration(proxy_engine &engine, const route_table &routes, time_point now)
{
    if (engine.configurationReceived && routes.version <= engine.routes.version) {
        return;
    }
    reportEvent(engine,
                "configuration_adopted",
                {{"version", std::to_string(routes.version.value())}, {"before", std::to_string(engine.routes.version.value())}});
    engine.routes = routes;
    const bool first = !std::exchange(engine.configurationReceived, true);
    updateLimits(engine);
    updateHolders(engine);
    applyWorkspaces(engine, now);
    updateWorkspaceLimits(engine, now);
    scheduleWarmUp(engine, now);
    if (first) {
        for (auto &[id, session] : engine.sessions) {
            scheduleTimer(engine, now, timer_kind::session, id.value());
        }
    }
    for (auto &[name, group] : engine.groups) {
        engine.groupsToDispatch.insert(name);
    }
    dispatchReadyGroups(engine, now);
}

void onListing(proxy_engine &engine, const database_listing &listing, time_point changedSince, time_point now)
{
    onListing(engine, listing, changedSince, now, now);
}

void onListing(proxy_engine &engine, const database_listing &listing, time_point changedSince, time_point answeredAt, time_point now)
{
    engine.listingReceived = true;
    std::set<database_name> seen;
    for (const listed_database &listed : listing) {
        group_state &group = findOrCreateGroup(engine, listed.group);
        seen.insert(listed.name);
        updateDatabase(engine, group, listed, changedSince, now);
        engine.groupsToDispatch.insert(group.name);
    }
    for (auto &[name, group] : engine.groups) {
        for (auto &[databaseName, database] : group.databases) {
            if (!seen.contains(databaseName) && database.unlistedSince == time_point{}) {
                database.unlistedSince = std::min(answeredAt, now);
                database.unlistedUntil = usableUntil(engine, changedSince, database.unlistedSince);
                scheduleGroupCheck(engine, group, database.unlistedUntil);
            }
        }
    }
    updateLimits(engine);
    updateHolders(engine);
    scheduleWarmUp(engine, now);
    dispatchReadyGroups(engine, now);
}

namespace proxying
{

group_state &findOrCreateGroup(proxy_engine &engine, const group_name &name)
{
    const auto [found, added] = engine.groups.try_emplace(name);
    group_state &group = found->second;
    if (added) {
        group.name = name;
        group.verification.claimsCompleteFrom = claimsCompleteFrom(engine);
    }
    return group;
}

void assumePrimary(proxy_engine &engine, group_state &group, const database_name &name, const char *source, time_point now)
{
    if (group.primary == name) {
        return;
    }
    reportEvent(engine,
                "lead_assumed",
                {{"group", group.name.value()},
                 {"database", name.value()},
                 {"before", group.primary ? group.primary->value() : std::string("none")},
                 {"source", source},
                 {"without_lead_ms", toMillisText(now - group.primaryConfirmedAt)}});
    group.primary = name;
    abandonReplaced(engine, group, now);
    // It may be leaving itself.
    scheduleGroupCheck(engine, group, now);
    engine.groupsToDispatch.insert(group.name);
}

void reportPrimaryChange(proxy_engine &engine, const group_state &group, const database_name &to, const std::string &term, time_point now)
{
    engine.counters.primaryChanges += 1;
    reportEvent(engine,
                "lead_changed",
                {{"group", group.name.value()},
                 {"from", group.primary ? group.primary->value() : std::string("none")},
                 {"to", to.value()},
                 {"term", term},
                 {"without_lead_ms", toMillisText(now - group.primaryConfirmedAt)}});
}

void recordPrimary(proxy_engine &engine,
                   group_state &group,
                   const database_name &name,
                   const std::optional<log_entry> &position,
                   time_point requestedAt,
                   time_point now)
{
    if (requestedAt < group.primaryConfirmedAt && group.primary != name) {
        return;
    }
    const bool known = group.primary || group.reportedTerm != term_number{};
    if (!engine.settings.replacedPrimariesStepDown && known && group.primary != name) {
        // Another database may accept writes, too. Their terms decide.
        resolveTwoPrimaries(engine, group, name, now);
        return;
    }
    if (group.primary != name) {
        reportPrimaryChange(engine, group, name, position ? std::to_string(position->term.value()) : std::string("-"), now);
        group.primary = name;
        cancelFailover(engine, group, "another database leads", now);
        abandonReplaced(engine, group, now);
        // It may be leaving itself.
        scheduleGroupCheck(engine, group, now);
    }
    group.primaryConfirmedAt = std::max(group.primaryConfirmedAt, requestedAt);
    if (group.failover.cause == failover_cause::unresponsive) {
        cancelFailover(engine, group, "the primary answered", now);
    }
    if (position) {
        group.primaryTerm = std::max(group.primaryTerm, position->term);
        addVerifiedSample(engine, group, {name, requestedAt, *position}, now);
    }
    engine.groupsToDispatch.insert(group.name);
}

void recordNotPrimary(proxy_engine &engine, group_state &group, const database_name &name, time_point now)
{
    if (group.primary != name) {
        return;
    }
    reportEvent(
        engine, "lead_lost", {{"group", group.name.value()}, {"database", name.value()}, {"why", "refused as one that does not lead"}});
    group.primary.reset();
    scheduleGroupCheck(engine, group, now);
}

void markSuspected(proxy_engine &engine, group_state &group, database_state &database, const char *reason, time_point now)
{
    if (database.suspectedSince == time_point{}) {
        database.suspectedSince = now;
        reportEvent(engine,
                    "database_suspected",
                    {{"database", database.listed.name.value()},
                     {"why", reason},
                     {"last_answer_ms_ago", toMillisText(now - database.lastReplyAt)}});
    }
    scheduleGroupCheck(engine, group, now);
}

void refreshPosition(proxy_engine &engine, group_state &group, time_point now)
{
    if (!group.primary) {
        scheduleGroupCheck(engine, group, now);
        return;
    }
    const auto found = group.databases.find(*group.primary);
    if (found == group.databases.end()) {
        return;
    }
    database_state &primary = found->second;
    if (primary.probedAt != time_point{} && now - primary.probedAt < positionRetryInterval) {
        return;
    }
    // Where all connections are at work, the question is sent behind a statement: statements that wait would take the next free one.
    database_connection *connection = findForRoleCheck(engine, group, primary, now);
    if (connection == nullptr) {
        return;
    }
    primary.probedAt = now;
    connection->state = database_connection_state::busy;
    sendProbe(engine, *connection, probe_request{.primaryCheck = true}, now);
    if (!engine.settings.replacedPrimariesStepDown) {
        demandEvidence(engine, group, *group.primary, now, now);
    }
}

database_connection *findOrOpenForProbe(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    if (database_connection *idle = findIdle(engine, database, {}, now)) {
        return idle;
    }
    const bool opening = std::ranges::any_of(database.connections, [&](database_connection_id id) {
        return engine.connections.at(id).state == database_connection_state::opening;
    });
    if (!opening && now >= database.openNotBefore
        && database.connections.size() < engine.settings.maxConnectionsPerDatabase + maxProbeConnections) {
        openConnection(engine, group, database, now);
    }
    return nullptr;
}

database_connection *findForRoleCheck(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    if (database_connection *idle = findIdle(engine, database, {}, now)) {
        return idle;
    }
    for (const database_connection_id id : database.connections) {
        database_connection &connection = engine.connections.at(id);
        const bool overdue = !connection.expected.empty() && now - connection.expected.front().sentAt >= engine.settings.replyTimeout / 2;
        const bool isFree = !connection.inTransaction && !connection.transactionLeftOpen;
        if (connection.state == database_connection_state::busy && isFree && !overdue) {
            return &connection;
        }
    }
    return findOrOpenForProbe(engine, group, database, now);
}

void checkGroup(proxy_engine &engine, group_state &group, time_point now)
{
    removeUnlisted(engine, group, now);
    probeHolders(engine, group, now);
    if (!watchesDatabases(engine, group, now)) {
        return;
    }
    if (group.failover.phase == failover_phase::readingLogs) {
        readLogs(engine, group, now);
        return;
    }
    if (group.failover.phase == failover_phase::steppingDown) {
        continueHandOver(engine, group, now);
        return;
    }
    const bool primaryInDoubt = isPrimaryInDoubt(group);
    bool anyDoubt = primaryInDoubt;
    bool anyMissing = false;
    for (auto &[name, database] : group.databases) {
        anyMissing = anyMissing || database.unlistedSince != time_point{};
        const bool suspected = database.suspectedSince != time_point{};
        anyDoubt = anyDoubt || suspected;
        if (primaryInDoubt || suspected) {
            probeDatabase(engine, group, database, primaryInDoubt, now);
        }
    }
    const failover_cause cause = causeOfFailover(failoverViewOf(group), engine.settings, now);
    if (cause != failover_cause::none) {
        startFailover(engine, group, cause, now);
    } else if (group.failover.phase == failover_phase::watching) {
        cancelFailover(engine, group, "no cause any more", now);
    }
    resumeReplicas(engine, group, now);
    if (anyDoubt && !group.databases.empty()) {
        scheduleGroupCheck(engine, group, now + engine.settings.probeInterval);
    } else if (anyMissing) {
        scheduleGroupCheck(engine, group, now + engine.settings.unlistedValidFor);
    }
}

void warmUp(proxy_engine &engine, group_state &group, const database_name &name, time_point now)
{
    const auto found = group.databases.find(name);
    // It is not known yet which workspace will need one.
    const bool wanted = group.holders.empty() && found != group.databases.end() && !engine.routes.workspaces.enabled;
    if (wanted && found->second.connections.empty() && !found->second.listed.leaving) {
        openConnection(engine, group, found->second, now);
    }
}

void scheduleGroupCheck(proxy_engine &engine, group_state &group, time_point due)
{
    if (group.nextCheckAt != time_point{} && group.nextCheckAt <= due) {
        return;
    }
    group.nextCheckAt = due;
    scheduleTimer(engine, due, timer_kind::group, 0, group.name);
}

} // namespace proxying

} // namespace mustardrouter
