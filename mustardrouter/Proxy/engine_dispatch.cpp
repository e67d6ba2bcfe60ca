#include "mustardrouter/Proxy/connection_budget.h"
#include "mustardrouter/Proxy/connection_choice.h"
#include "mustardrouter/Proxy/engine_limits.h"
#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"
#include "mustardrouter/Proxy/group_holders.h"
#include "mustardrouter/Proxy/overload_admission.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <utility>

namespace mustardrouter::proxying
{

namespace
{

/// A read or transaction that is not admitted retries after one to two times this backoff. It is refused when
/// admissionWaitTenths tenths of the route's latency target have passed: the rest is enough for an attempt elsewhere.
constexpr duration admissionBackoff = std::chrono::milliseconds(70);
constexpr std::int64_t admissionWaitTenths = 3;
/// The primary's position is requested this long before the newest sample is too old.
constexpr duration positionRefreshMargin = std::chrono::milliseconds(400);
/// Interval between samples while replicas lag. A read's floor is the first sample within its maximum age, so the interval
/// between samples reduces the lag that a replica may have.
constexpr duration positionIntervalWhenLagging = std::chrono::milliseconds(200);
/// Time for which a refusal because of lag counts as a sign that replicas lag.
constexpr duration lagRefusalValidFor = std::chrono::seconds(2);

/// Returns an idle connection to the database; without one, opens another if allowed and returns nullptr.
database_connection *findOrOpenConnection(
    proxy_engine &engine, group_state &group, const database_name &name, const client_session &session, time_point now)
{
    const auto found = group.databases.find(name);
    if (found == group.databases.end() || !acceptsWork(engine, found->second, now)) {
        return nullptr;
    }
    return findOrOpenShared(engine, group, found->second, session, now);
}

connection_option optionOf(
    const proxy_engine &engine, const group_state &group, const ranked_database &candidate, const client_session &session, time_point now)
{
    const database_state &database = *candidate.database;
    const shared_option shared = sharedOptionOf(engine, group, database, session, now);
    connection_option option;
    option.expectedMicros = candidate.expectedMicros;
    option.idle = shared.idle;
    option.mayOpen = shared.mayOpen;
    option.replaces = shared.replaces;
    for (const database_connection_id id : database.connections) {
        const database_connection &connection = engine.connections.at(id);
        if (connection.state == database_connection_state::opening && connection.workspace == session.caller.workspace) {
            option.opening = true;
            option.openingFor = std::max(option.openingFor, now - connection.since);
        }
    }
    return option;
}

/// What a read of this session must see.
struct read_requirement {
    std::optional<log_entry> floor;
    /// The read needs a primary whose role is verified before and after it.
    bool needsConfirmedPrimary = false;
    /// No sample of the position is recent enough to derive a floor.
    bool positionUnknown = false;
};

read_requirement readRequirementOf(const group_state &group, const client_session &session, const route &sessionRoute, time_point arrivedAt)
{
    read_requirement requirement;
    if (sessionRoute.rule == read_rule::latest) {
        requirement.needsConfirmedPrimary = true;
        return requirement;
    }
    const std::optional<log_entry> own = sessionRoute.rule == read_rule::session ? floorOf(session.ownCommits, group.name) : std::nullopt;
    const bool mayBeRolledBack = own && group.primaryTerm > own->term;
    if (mayBeRolledBack || own == unknownEntry) {
        requirement.needsConfirmedPrimary = true;
        return requirement;
    }
    requirement.floor = floorAt(group.samples, arrivedAt - sessionRoute.maxAge);
    requirement.positionUnknown = !requirement.floor.has_value();
    if (own && requirement.floor) {
        requirement.floor = std::max(*requirement.floor, *own);
    }
    return requirement;
}

/// Returns an idle connection to one of the ranked databases, or nullptr. May also start to open one where that serves the
/// read better.
database_connection *findOrOpenForRead(proxy_engine &engine,
                                       group_state &group,
                                       const client_session &session,
                                       const std::vector<database_name> &excludedDatabases,
                                       const std::optional<log_entry> &floor,
                                       time_point now)
{
    for (auto &[name, database] : group.databases) {
        const auto working = std::ranges::count_if(database.connections, [&](database_connection_id id) {
            return engine.connections.at(id).state == database_connection_state::busy;
        });
        database.inFlight = static_cast<std::uint32_t>(working);
    }
    const std::vector<ranked_database> ranked =
        rankForRead({&group.databases, group.primary, &excludedDatabases, floor, true}, engine.settings, now, engine.random);
    std::vector<connection_option> options;
    options.reserve(ranked.size());
    for (const ranked_database &candidate : ranked) {
        options.push_back(optionOf(engine, group, candidate, session, now));
    }
    const connection_choice choice = chooseConnection(options);
    if (choice.openIndex < ranked.size()) {
        findOrOpenShared(engine, group, group.databases.at(ranked[choice.openIndex].database->listed.name), session, now);
    } else if (choice.idleIndex == ranked.size() && !ranked.empty() && std::ranges::none_of(options, &connection_option::opening)) {
        claimShared(engine, group.databases.at(ranked.front().database->listed.name), session, now);
    }
    if (choice.idleIndex == ranked.size() && choice.openIndex == ranked.size() && group.dispatchAt <= now) {
        // The connection that is being opened may fail.
        group.dispatchAt = now + slowOpenThreshold;
        scheduleTimer(engine, group.dispatchAt, timer_kind::dispatch, 0, group.name);
    }
    if (choice.idleIndex == ranked.size()) {
        return nullptr;
    }
    return findOrOpenShared(engine, group, group.databases.at(ranked[choice.idleIndex].database->listed.name), session, now);
}

/// Whether a read may be sent to a database that may be overloaded.
bool isAdmitted(proxy_engine &engine,
                const group_state &group,
                client_session &session,
                const route &sessionRoute,
                const database_state &database,
                time_point now)
{
    running_statement &running = *session.current;
    if (sessionRoute.rule == read_rule::latest || (running.admitted && running.overloadRefusals == 0)) {
        return true;
    }
    admission_request request;
    request.priority = sessionRoute.priority;
    request.smoothedReadMicros = engine.smoothedReadMicros[session.database];
    request.groupReadMicros = group.smoothedReadMicros;
    request.overloadRefusals = running.overloadRefusals;
    running.admitted = std::uniform_real_distribution<double>(0, 1)(engine.random) < admissionProbability(database, request, now);
    running.admittedAt = running.admitted ? now : time_point{};
    return running.admitted;
}

/// Whether a transaction may begin on a primary that may be overloaded.
bool isAdmitted(proxy_engine &engine, const group_state &group, client_session &session, const database_state &primary, time_point now)
{
    client_transaction &transaction = *session.transaction;
    if (transaction.admitted || transaction.sessionRoute.rule == read_rule::latest) {
        return true;
    }
    // Assumed until a transaction of this route has ended.
    constexpr double defaultStatementsPerTransaction = 4;
    const auto known = engine.statementsPerTransaction.find(session.database);
    admission_request request;
    request.priority = transaction.sessionRoute.priority;
    request.smoothedReadMicros = engine.smoothedReadMicros[session.database];
    request.groupReadMicros = group.smoothedReadMicros;
    request.statements = known == engine.statementsPerTransaction.end() ? defaultStatementsPerTransaction : known->second;
    transaction.admitted = std::uniform_real_distribution<double>(0, 1)(engine.random) < admissionProbability(primary, request, now);
    return transaction.admitted;
}

/// Schedules another attempt for a transaction that was not admitted, or refuses its statement. Returns whether it no longer
/// waits.
bool delayOrRefuseTransaction(proxy_engine &engine, const group_state &group, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    const duration timeout = transaction.sessionRoute.latencyTarget * admissionWaitTenths / 10;
    if (session.current && now - session.current->arrivedAt >= timeout) {
        refuseStatement(engine, session, reply_code::busy, "the primary is full and the transaction has not begun", now);
        return true;
    }
    transaction.notBefore = now + admissionBackoff + duration(static_cast<std::int64_t>(engine.random() % admissionBackoff.count()));
    scheduleTimer(engine, transaction.notBefore, timer_kind::dispatch, 0, group.name);
    return false;
}

/// Schedules another attempt for a read that was not admitted, or refuses it. Returns whether it no longer waits.
bool delayOrRefuseRead(
    proxy_engine &engine, const group_state &group, client_session &session, const route &sessionRoute, const char *reason, time_point now)
{
    running_statement &running = *session.current;
    if (now - running.arrivedAt >= sessionRoute.latencyTarget * admissionWaitTenths / 10) {
        refuseRun(engine, session, reply_code::busy, reason, now);
        return true;
    }
    running.notBefore = now + admissionBackoff + duration(static_cast<std::int64_t>(engine.random() % admissionBackoff.count()));
    scheduleTimer(engine, running.notBefore, timer_kind::dispatch, 0, group.name);
    return false;
}

/// The ranked database with the largest admissible share of reads.
const database_state *leastOverloaded(const std::vector<ranked_database> &ranked, time_point now)
{
    const auto best = std::ranges::max_element(ranked, {}, [&](const ranked_database &candidate) {
        return admissibleReadShare(*candidate.database, now);
    });
    return best == ranked.end() ? nullptr : best->database;
}

/// Requests the primary's position when reads of the route need a newer sample.
void refreshPositionIfNeeded(proxy_engine &engine, group_state &group, const route &sessionRoute, time_point now)
{
    if (sessionRoute.rule == read_rule::latest) {
        return;
    }
    const duration age = now - newestSampleAt(group.samples);
    const bool lags = group.lagRefusedAt != time_point{} && now - group.lagRefusedAt < lagRefusalValidFor;
    if (age + positionRefreshMargin > sessionRoute.maxAge || (lags && age > positionIntervalWhenLagging)) {
        refreshPosition(engine, group, now);
    }
}

/// Refuses a statement that would need evidence that has been missing for long, once it has waited for its share of the latency
/// target. Returns whether it no longer waits.
bool refuseUnverifiable(proxy_engine &engine, group_state &group, client_session &session, const route &sessionRoute, time_point now)
{
    if (!isVerificationStalled(engine, group, now) || !session.current) {
        return false;
    }
    if (group.primary) {
        // Nothing may be held any more that keeps the questions going.
        demandEvidence(engine, group, *group.primary, group.verification.missingSince, now);
    }
    if (now - session.current->arrivedAt >= sessionRoute.latencyTarget * admissionWaitTenths / 10) {
        refuseRun(engine, session, reply_code::busy, "the primary can't be verified", now);
        return true;
    }
    if (group.primary) {
        demandEvidence(engine, group, *group.primary, group.verification.missingSince, now);
    }
    scheduleTimer(engine, now + admissionBackoff, timer_kind::dispatch, 0, group.name);
    return false;
}

/// Sends the statement if the workspace's limit allows. Returns whether the session no longer waits.
bool sendAutocommitWithinLimit(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    if (const std::optional<bool> held = heldByLimit(engine, session, limit_check::beforeSending, now)) {
        return *held;
    }
    sendAutocommit(engine, session, connection, now);
    return true;
}

/// The same for a BEGIN.
bool sendBeginWithinLimit(proxy_engine &engine, client_session &session, database_connection &connection, bool forReading, time_point now)
{
    if (const std::optional<bool> held = heldByLimit(engine, session, limit_check::beforeSending, now)) {
        return *held;
    }
    sendBegin(engine, session, connection, forReading, now);
    return true;
}

bool dispatchRead(proxy_engine &engine, group_state &group, client_session &session, const route &sessionRoute, time_point now)
{
    running_statement &running = *session.current;
    const read_requirement requirement = readRequirementOf(group, session, sessionRoute, running.arrivedAt);
    refreshPositionIfNeeded(engine, group, sessionRoute, now);
    const std::vector<ranked_database> ranked = rankForRead(
        {&group.databases, group.primary, &running.excludedDatabases, requirement.floor, true}, engine.settings, now, engine.random);
    const bool triedAll = ranked.empty();
    if (requirement.needsConfirmedPrimary || requirement.positionUnknown || triedAll) {
        if (!group.primary || (requirement.positionUnknown && !requirement.needsConfirmedPrimary && !triedAll)
            || isVerificationStalled(engine, group, now)) {
            return refuseUnverifiable(engine, group, session, sessionRoute, now);
        }
        const auto primary = group.databases.find(*group.primary);
        if (primary != group.databases.end() && !isAdmitted(engine, group, session, sessionRoute, primary->second, now)) {
            return delayOrRefuseRead(engine, group, session, sessionRoute, "replicas lag and the primary is full", now);
        }
        database_connection *connection = findOrOpenConnection(engine, group, *group.primary, session, now);
        if (connection == nullptr) {
            return false;
        }
        // The primary needs either a floor or a primary check. A primary that lacks the floor has lost that log entry in a
        // promotion, so the check replaces the floor.
        const bool primaryLacksFloor = std::ranges::find(running.excludedDatabases, *group.primary) != running.excludedDatabases.end();
        running.floor = requirement.needsConfirmedPrimary || primaryLacksFloor ? std::nullopt : requirement.floor;
        running.needsPrimaryCheck = !running.floor.has_value();
        return sendAutocommitWithinLimit(engine, session, *connection, now);
    }
    if (!isAdmitted(engine, group, session, sessionRoute, *leastOverloaded(ranked, now), now)) {
        return delayOrRefuseRead(engine, group, session, sessionRoute, "all databases of the group are full", now);
    }
    database_connection *connection = findOrOpenForRead(engine, group, session, running.excludedDatabases, requirement.floor, now);
    if (connection == nullptr) {
        return false;
    }
    running.floor = requirement.floor;
    running.needsPrimaryCheck = false;
    return sendAutocommitWithinLimit(engine, session, *connection, now);
}

bool dispatchTransaction(proxy_engine &engine, group_state &group, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    const route &sessionRoute = transaction.sessionRoute;
    if (transaction.readOnly && sessionRoute.rule != read_rule::latest) {
        const read_requirement requirement = readRequirementOf(group, session, sessionRoute, transaction.beganAt);
        refreshPositionIfNeeded(engine, group, sessionRoute, now);
        if (requirement.positionUnknown) {
            return false;
        }
        const bool triedAll = rankForRead({&group.databases, group.primary, &transaction.excludedDatabases, requirement.floor, true},
                                          engine.settings,
                                          now,
                                          engine.random)
                                  .empty();
        if (!requirement.needsConfirmedPrimary && !triedAll) {
            database_connection *connection =
                findOrOpenForRead(engine, group, session, transaction.excludedDatabases, requirement.floor, now);
            if (connection == nullptr) {
                return false;
            }
            transaction.floor = requirement.floor;
            return sendBeginWithinLimit(engine, session, *connection, true, now);
        }
    }
    if (isVerificationStalled(engine, group, now)) {
        return refuseUnverifiable(engine, group, session, sessionRoute, now);
    }
    if (!group.primary || now < transaction.notBefore) {
        return false;
    }
    const auto primary = group.databases.find(*group.primary);
    if (primary != group.databases.end() && !isAdmitted(engine, group, session, primary->second, now)) {
        return delayOrRefuseTransaction(engine, group, session, now);
    }
    database_connection *connection = findOrOpenConnection(engine, group, *group.primary, session, now);
    if (connection == nullptr) {
        return false;
    }
    // No floor: in a read-write transaction the database confirms with each statement that it is primary.
    transaction.floor.reset();
    return sendBeginWithinLimit(engine, session, *connection, false, now);
}

/// Refuses a transaction whose BEGIN waits and whose key is in no workspace any more. Returns whether the session no longer waits: the
/// refusal is the reply to its first statement, which may be yet to come.
bool refuseWaiting(proxy_engine &engine, client_session &session, time_point now)
{
    if (!session.current) {
        return false;
    }
    refuseUnidentified(engine, session, now);
    return true;
}

/// Dispatches the session's statement or transaction. Returns whether the session no longer waits, which is also true when it
/// has nothing to dispatch.
bool dispatchSession(proxy_engine &engine, group_state &group, client_session &session, time_point now)
{
    if (session.transaction) {
        if (session.transaction->phase != transaction_phase::waitingForConnection) {
            return true;
        }
        if (!identify(engine, session)) {
            return refuseWaiting(engine, session, now);
        }
        if (isToBeRelayed(group, session, now)) {
            return dispatchRelayed(engine, group, session, session.transaction->sessionRoute, now);
        }
        if (const std::optional<bool> held = heldByLimit(engine, session, limit_check::early, now)) {
            return *held;
        }
        return dispatchTransaction(engine, group, session, now);
    }
    if (!session.current || session.current->connection != database_connection_id{} || session.current->replyHeld) {
        return true;
    }
    if (now < session.current->notBefore) {
        return false;
    }
    const std::optional<route> sessionRoute = servedRouteOf(engine, session);
    if (!sessionRoute) {
        refuseWithoutRoute(engine, session, now);
        return true;
    }
    if (!identify(engine, session)) {
        refuseUnidentified(engine, session, now);
        return true;
    }
    if (isToBeRelayed(group, session, now)) {
        return dispatchRelayed(engine, group, session, *sessionRoute, now);
    }
    if (const std::optional<bool> held = heldByLimit(engine, session, limit_check::early, now)) {
        return *held;
    }
    if (!session.current->writes) {
        return dispatchRead(engine, group, session, *sessionRoute, now);
    }
    if (isVerificationStalled(engine, group, now)) {
        return refuseUnverifiable(engine, group, session, *sessionRoute, now);
    }
    if (!group.primary) {
        return false;
    }
    database_connection *connection = findOrOpenConnection(engine, group, *group.primary, session, now);
    if (connection == nullptr) {
        return false;
    }
    session.current->floor.reset();
    session.current->needsPrimaryCheck = false;
    return sendAutocommitWithinLimit(engine, session, *connection, now);
}

} // namespace

connection_budget budgetOf(const proxy_engine &engine, const group_state &group, const database_state &database, time_point now)
{
    const auto opening = std::ranges::count_if(database.connections, [&](database_connection_id id) {
        return engine.connections.at(id).state == database_connection_state::opening;
    });
    // A connection that waits for the overdue reply to an abandoned command is unusable until the reply arrives.
    const auto overdue = std::ranges::count_if(database.connections, [&](database_connection_id id) {
        const database_connection &connection = engine.connections.at(id);
        return connection.state == database_connection_state::busy && connection.session == session_id{} && !connection.expected.empty()
               && now - connection.expected.front().sentAt >= engine.settings.replyTimeout;
    });
    connection_budget budget;
    budget.ownConnections = static_cast<std::uint32_t>(database.connections.size() - static_cast<std::size_t>(overdue));
    budget.opening = static_cast<std::uint32_t>(opening);
    budget.ownLimit = engine.settings.maxConnectionsPerDatabase;
    if (engine.sharedGroups.contains(group.name)) {
        budget.ownLimit = group.holders.empty() ? connectionsPerHolder : 1;
    }
    budget.holdsForWorkspaces = engine.routes.workspaces.enabled && engine.sharedGroups.contains(group.name) && group.holders.empty();
    budget.totalConnections = database.connectionsInUse;
    budget.totalLimit = group.limits.connections;
    budget.recentlyOverloaded = database.overloadedAt != time_point{} && now - database.overloadedAt < engine.settings.overloadValidFor;
    return budget;
}

group_state *groupOf(proxy_engine &engine, const client_session &session)
{
    // The group may have no listed database yet: after startup, and while the platform's list recovers, statements wait for it.
    if (session.transaction) {
        return &findOrCreateGroup(engine, session.transaction->sessionRoute.group);
    }
    const route *configured = configuredRouteOf(engine, session);
    return configured == nullptr ? nullptr : &findOrCreateGroup(engine, configured->group);
}

void queueForConnection(proxy_engine &engine, client_session &session, time_point now)
{
    group_state *group = groupOf(engine, session);
    if (group == nullptr) {
        if (session.current) {
            refuseWithoutRoute(engine, session, now);
        }
        return;
    }
    if (session.current) {
        session.current->connection = database_connection_id{};
    }
    if (!session.waiting) {
        session.waiting = true;
        group->waiting.push_back(session.id);
    }
    engine.groupsToDispatch.insert(group->name);
}

namespace
{

/// Whether the session waits with a write, a transaction, or a statement that only the primary can serve.
bool isUrgent(const proxy_engine &engine, session_id id)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return false;
    }
    const client_session &session = found->second;
    const bool writes = session.transaction.has_value() || (session.current && session.current->writes);
    const route *configured = configuredRouteOf(engine, session);
    return writes || (configured != nullptr && configured->rule == read_rule::latest);
}

/// Earliest instant of the next attempt with the session's statement or transaction.
time_point notBeforeOf(const client_session &session)
{
    if (session.transaction) {
        return session.transaction->notBefore;
    }
    return session.current ? session.current->notBefore : time_point{};
}

} // namespace

void dispatch(proxy_engine &engine, group_state &group, time_point now)
{
    recordWaitingWorkspaces(engine, group);
    std::deque<session_id> stillWaiting;
    std::deque<session_id> waiting = std::exchange(group.waiting, {});
    // Urgent sessions come first; within each class the oldest.
    std::stable_partition(waiting.begin(), waiting.end(), [&](session_id id) {
        return isUrgent(engine, id);
    });
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        const auto found = engine.sessions.find(waiting[index]);
        if (found == engine.sessions.end()) {
            continue;
        }
        // Dispatching may refuse the statement and start the session's next one, which queues the session again.
        client_session &session = found->second;
        session.waiting = false;
        if (const group_state *served = groupOf(engine, session); served != nullptr && served != &group) {
            // Its route has changed to another group since it was queued. The timer of a pause belongs to the group before.
            const time_point notBefore = notBeforeOf(session);
            scheduleTimer(engine, std::max(now, notBefore), timer_kind::dispatch, 0, served->name);
            queueForConnection(engine, session, now);
            continue;
        }
        const bool done = dispatchSession(engine, group, session, now) || refuseWithoutPrimary(engine, group, session, now);
        if (!done && !session.waiting) {
            session.waiting = true;
            stillWaiting.push_back(session.id);
        }
    }
    for (const session_id id : group.waiting) {
        stillWaiting.push_back(id);
    }
    group.waiting = std::move(stillWaiting);
    if (!group.waiting.empty() && !group.primary) {
        scheduleGroupCheck(engine, group, now);
    }
}

void dispatchReadyGroups(proxy_engine &engine, time_point now)
{
    // Refusals during dispatch may mark a group again; the bound limits the work of one event.
    for (int round = 0; round < 8 && !engine.groupsToDispatch.empty(); ++round) {
        const std::set<group_name> names = std::exchange(engine.groupsToDispatch, {});
        for (const group_name &name : names) {
            const auto found = engine.groups.find(name);
            if (found != engine.groups.end()) {
                dispatch(engine, found->second, now);
            }
        }
    }
}

} // namespace mustardrouter::proxying
