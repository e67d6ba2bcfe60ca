#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"
#include "mustardrouter/Proxy/group_holders.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

/// Relays statements to the instances that hold the connections to a group; see group_holders.h. To the engine, a connection to a
/// holder is used like one to a database: for one statement or transaction at a time.
namespace mustardrouter
{

namespace
{

using namespace proxying;

/// Most statements and transactions of this instance at one holder; their connections cost a holder little, but each may wait there.
constexpr std::size_t maxWorkPerHolder = 32;
/// Connections for pings beyond these.
constexpr std::size_t pingConnections = 1;
/// A holder with another configuration or without the group gets the statement again after this pause at the earliest.
constexpr duration otherConfigurationBackoff = std::chrono::milliseconds(50);
/// Time within which a holder must reply to a ping.
constexpr duration pingTimeout = std::chrono::milliseconds(300);
/// Interval at which an overdue reply of a holder that is alive is checked again.
constexpr duration overdueCheckInterval = std::chrono::milliseconds(100);
/// How long a holder that refused a statement because it can't reach the primary gets none that needs the primary.
constexpr duration lacksPrimaryValidFor = std::chrono::seconds(1);
/// How long a holder lets a relayed statement wait for a primary that it can't reach: another holder may reach it.
constexpr duration primaryWait = std::chrono::milliseconds(80);
/// The same while it has no connection to the primary; one takes up to 0.1 s to open.
constexpr duration firstConnectionWait = std::chrono::milliseconds(200);
/// A statement with less time left is not relayed: the reply of the holder could come too late to know what became of it.
constexpr duration minTimeToRelay = std::chrono::milliseconds(130);
/// A transaction whose first statement was refused for lack of the primary is begun at other holders this often.
constexpr std::size_t maxRestarts = 8;
/// After so many holders without the primary it has probably failed for all, and a promotion is due: the statement then waits between
/// its attempts, for as long as its time lasts.
constexpr std::size_t quickAttempts = 3;
constexpr duration promotionRetryPause = std::chrono::milliseconds(120);
/// Expected times by distance, and for each statement that the holder already has from this instance, in microseconds.
constexpr double sameRegionMicros = 2'000;
constexpr double otherRegionMicros = 40'000;
constexpr double inFlightMicros = 3'000;
/// A link that takes longer than this to open probably never will; other holders come first.
constexpr duration slowOpenThreshold = std::chrono::milliseconds(100);
constexpr double slowOpenPenaltyMicros = 1e6;
/// A holder that does not serve the workspace first has to open a connection for it: up to three crossings between regions, and a slot
/// of the database, which may have to wait for it.
constexpr double otherHolderMicros = 100'000;

/// A holder that opens no new channels ends; it gets no work for this time.
constexpr duration closingHolderBackoff = std::chrono::seconds(2);

bool isUsable(const database_state &holder, time_point now)
{
    return !holder.listed.leaving && holder.suspectedSince == time_point{} && now >= holder.openNotBefore;
}

/// Number of statements and transactions of this instance at the holder.
std::size_t workAt(const proxy_engine &engine, const database_state &holder)
{
    const auto count = std::ranges::count_if(holder.connections, [&](database_connection_id id) {
        const database_connection_state state = engine.connections.at(id).state;
        return state == database_connection_state::busy || state == database_connection_state::held;
    });
    return static_cast<std::size_t>(count);
}

double expectedMicros(const proxy_engine &engine, const database_state &holder, time_point now)
{
    double distance = 0;
    if (holder.listed.dataCentre != engine.settings.dataCentre) {
        distance = isInOwnRegion(engine.settings, holder.listed.dataCentre) ? sameRegionMicros : otherRegionMicros;
    }
    const bool slowToOpen = std::ranges::any_of(holder.connections, [&](database_connection_id id) {
        const database_connection &connection = engine.connections.at(id);
        return connection.state == database_connection_state::opening && now - connection.since >= slowOpenThreshold;
    });
    return distance + inFlightMicros * static_cast<double>(workAt(engine, holder)) + (slowToOpen ? slowOpenPenaltyMicros : 0);
}

/// Whether only the primary can serve the session's statement or transaction.
bool needsPrimary(const client_session &session, const route &sessionRoute)
{
    const bool writes = session.transaction ? !session.transaction->readOnly : session.current->writes;
    return writes || sessionRoute.rule == read_rule::latest;
}

/// The holder with the shortest expected time that has not refused the statement and, if that matters, reaches the primary; any
/// other if there is none. With workspaces, those that serve the session's workspace first are preferred.
database_state *nearestHolder(proxy_engine &engine,
                              group_state &group,
                              const client_session &session,
                              const std::vector<database_name> &excluded,
                              bool primaryNeeded,
                              time_point now)
{
    const std::set<database_name> *preferred = preferredHoldersOf(engine, group, session);
    database_state *best = nullptr;
    double bestMicros = std::numeric_limits<double>::max();
    for (auto &[name, holder] : group.holders) {
        if (!isUsable(holder, now)) {
            continue;
        }
        constexpr double refusedPenaltyMicros = 1e9;
        const bool lacksPrimary = primaryNeeded && now < holder.lacksPrimaryUntil;
        const bool refused = lacksPrimary || hasOtherRoute(holder, session, now) || std::ranges::find(excluded, name) != excluded.end();
        const bool other = preferred != nullptr && !preferred->contains(name);
        const double micros = expectedMicros(engine, holder, now) + (refused ? refusedPenaltyMicros : 0) + (other ? otherHolderMicros : 0);
        if (micros < bestMicros) {
            best = &holder;
            bestMicros = micros;
        }
    }
    return best;
}

/// Returns an idle connection to the holder; without one, starts to open another and returns nullptr.
database_connection *findOrOpenToHolder(
    proxy_engine &engine, group_state &group, database_state &holder, const std::map<std::string, std::string> &values, time_point now)
{
    if (database_connection *idle = findIdle(engine, holder, values, now)) {
        return idle;
    }
    const bool opening = std::ranges::any_of(holder.connections, [&](database_connection_id id) {
        return engine.connections.at(id).state == database_connection_state::opening;
    });
    if (!opening && now >= holder.openNotBefore && holder.connections.size() < maxWorkPerHolder + pingConnections) {
        openConnection(engine, group, holder, now, true);
        scheduleTimer(engine, now + slowOpenThreshold, timer_kind::dispatch, 0, group.name);
    }
    return nullptr;
}

bool hasOpenConnection(const proxy_engine &engine, const database_state &database)
{
    return std::ranges::any_of(database.connections, [&](database_connection_id id) {
        return engine.connections.at(id).state != database_connection_state::opening;
    });
}

/// Gives a holder that ends no work until its entry in the list should have gone.
void avoidClosingHolder(proxy_engine &engine, database_state &holder, time_point now)
{
    holder.openNotBefore = std::max(holder.openNotBefore, now + closingHolderBackoff);
    scheduleTimer(engine, holder.openNotBefore, timer_kind::dispatch, 0, holder.listed.group);
    engine.groupsToDispatch.insert(holder.listed.group);
}

/// Removes the holders that are not among the given ones.
void removeHolders(proxy_engine &engine, group_state &group, const std::vector<const listed_instance *> &kept)
{
    for (auto it = group.holders.begin(); it != group.holders.end();) {
        const bool keeps = std::ranges::any_of(kept, [&](const listed_instance *instance) {
            return instance->name.value() == it->first.value();
        });
        if (keeps) {
            ++it;
            continue;
        }
        // Running statements finish on their connections.
        const std::vector<database_connection_id> connections = it->second.connections;
        for (const database_connection_id id : connections) {
            const database_connection_state state = engine.connections.at(id).state;
            if (state == database_connection_state::idle || state == database_connection_state::opening) {
                discardConnection(engine, id);
            }
        }
        it = group.holders.erase(it);
    }
}

void setHolders(proxy_engine &engine, group_state &group, const std::vector<const listed_instance *> &holders)
{
    group.preferredHolders.clear();
    removeHolders(engine, group, holders);
    for (const listed_instance *instance : holders) {
        database_state &holder = group.holders[database_name(instance->name.value())];
        if (holder.listed.address == instance->relayAddress && holder.listed.dataCentre == instance->dataCentre) {
            continue;
        }
        holder.listed.name = database_name(instance->name.value());
        holder.listed.group = group.name;
        holder.listed.address = instance->relayAddress;
        holder.listed.dataCentre = instance->dataCentre;
        holder.suspectedSince = time_point{};
        holder.openNotBefore = time_point{};
    }
}

} // namespace

void onRelayedSessionStarted(proxy_engine &engine, session_id id, time_point now)
{
    client_session &session = engine.sessions[id];
    session.id = id;
    session.startedAt = now;
    session.idleSince = now;
    session.accepted = true;
    session.relayed = true;
    if (engine.stoppingSince != time_point{}) {
        session.closeAt = now;
        scheduleTimer(engine, now + engine.settings.sessionCloseDelay, timer_kind::session, id.value());
    }
}

void onRelayedStatement(proxy_engine &engine,
                        session_id id,
                        const std::string &database,
                        duration timeLeft,
                        const std::optional<log_entry> &floor,
                        client_statement statement,
                        time_point now,
                        const caller_identity &caller,
                        const std::optional<relayed_route> &served)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return;
    }
    client_session &session = found->second;
    if (!acceptRelayedCaller(session, caller, statement.verb)) {
        reportEvent(engine, "relayed_caller_mixed", {{"session", std::to_string(id.value())}});
        engine.actions.emplace_back(close_session{id, reply_code::malformed, {}});
        onSessionClosed(engine, id, now);
        return;
    }
    session.relayedTimeout = timeLeft;
    if (!session.transaction && !session.current) {
        session.database = database;
        session.relayedRoute = served;
        session.ownCommits = relayedCommits(engine, session, floor);
    }
    onStatement(engine, id, std::move(statement), now);
}

void onHolderCloses(proxy_engine &engine, const std::string &address, time_point now)
{
    reportEvent(engine, "holder_closes", {{"address", address}});
    for (auto &[name, group] : engine.groups) {
        for (auto &[holderName, holder] : group.holders) {
            if (holder.listed.address == address) {
                avoidClosingHolder(engine, holder, now);
            }
        }
    }
    dispatchReadyGroups(engine, now);
}

namespace proxying
{

void updateHolders(proxy_engine &engine)
{
    const std::vector<data_centre_candidates> candidates = candidatesOf(engine.instances);
    for (auto &[name, group] : engine.groups) {
        std::vector<const listed_instance *> holders;
        bool isHolder = false;
        if (!engine.routes.groups.contains(name)) {
            // Its limit is not known yet.
            setHolders(engine, group, {});
            group.holdersComputedFrom = {};
            engine.sharedGroups.erase(name);
            continue;
        }
        std::uint32_t slots = 1;
        for (const auto &[databaseName, database] : group.databases) {
            slots = std::max(slots, database.listed.slots);
        }
        // Ranking all instances for all groups is too much for each change of a database.
        const holder_inputs inputs{engine.instanceListNumber, group.limits.connections, slots};
        if (inputs == std::exchange(group.holdersComputedFrom, inputs)) {
            continue;
        }
        for (const std::size_t index : holdersOf(name.value(), group.limits, slots, candidates)) {
            const listed_instance &instance = engine.instances[index];
            isHolder = isHolder || instance.name.value() == engine.settings.instance;
            holders.push_back(&instance);
        }
        if (holders.empty()) {
            engine.sharedGroups.erase(name);
        } else {
            engine.sharedGroups.insert(name);
        }
        const bool before = !group.holders.empty();
        setHolders(engine, group, isHolder ? std::vector<const listed_instance *>() : holders);
        if (before != !group.holders.empty()) {
            reportEvent(engine,
                        "holders_changed",
                        {{"group", name.value()},
                         {"holders", std::to_string(holders.size())},
                         {"instances", std::to_string(engine.instances.size())},
                         {"self", isHolder || holders.empty() ? "holds" : "relays"}});
        }
        engine.groupsToDispatch.insert(name);
    }
}

duration pauseBeforeNextHolder(std::size_t refusals)
{
    return refusals < quickAttempts ? duration{} : promotionRetryPause;
}

bool isToBeRelayed(const group_state &group, const client_session &session, time_point now)
{
    // A relayed statement is never relayed again: instances may disagree on the holders for a moment.
    return !session.relayed && std::ranges::any_of(group.holders, [&](const auto &entry) {
        const database_state &holder = entry.second;
        return isUsable(holder, now) && !isOtherRouteLasting(holder, session, now);
    });
}

bool dispatchRelayed(proxy_engine &engine, group_state &group, client_session &session, const route &sessionRoute, time_point now)
{
    const bool begins = session.transaction.has_value();
    if (now < (begins ? session.transaction->notBefore : session.current->notBefore)) {
        return false;
    }
    if (!begins && session.current->deadline - now < minTimeToRelay) {
        refuseRun(engine, session, reply_code::busy, "no holder in time", now);
        return true;
    }
    const std::vector<database_name> &excluded = begins ? session.transaction->excludedDatabases : session.current->excludedDatabases;
    database_state *holder = nearestHolder(engine, group, session, excluded, needsPrimary(session, sessionRoute), now);
    if (holder == nullptr || workAt(engine, *holder) >= maxWorkPerHolder) {
        return false;
    }
    database_connection *connection = findOrOpenToHolder(engine, group, *holder, session.values, now);
    if (connection == nullptr) {
        return false;
    }
    engine.counters.statementsRelayed += 1;
    const std::optional<log_entry> floor = sessionRoute.rule == read_rule::session ? floorOf(session.ownCommits, group.name) : std::nullopt;
    if (begins) {
        session.transaction->floor = floor;
        sendBegin(engine, session, *connection, session.transaction->readOnly, now);
        return true;
    }
    session.current->floor = floor;
    session.current->needsPrimaryCheck = false;
    sendAutocommit(engine, session, *connection, now);
    return true;
}

void relayedStatementAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    running_statement &running = *session.current;
    switch (reply.code) {
    case reply_code::unknownDatabase:
        runElsewhereByRoute(engine, connection, session, now);
        return;
    case reply_code::unauthorized:
        running.excludedDatabases.push_back(connection.database);
        retry(engine, session, connection.database, "holder has another configuration", otherConfigurationBackoff, now);
        return;
    case reply_code::misrouted:
        holderLacksPrimary(engine, connection, now);
        running.excludedDatabases.push_back(connection.database);
        retry(engine,
              session,
              connection.database,
              "holder can't reach the primary",
              pauseBeforeNextHolder(running.excludedDatabases.size()),
              now);
        return;
    case reply_code::unknownStatement:
        connection.valuesUncertain = true;
        retry(engine, session, connection.database, "prepared statement lost", {}, now);
        return;
    case reply_code::done:
        if (running.writes) {
            recordOwnCommit(engine, session, connection.group, connection.database, reply.position);
        } else {
            // The holder returns a read below the floor only from a verified primary, whose log then lacks what the floor stood for.
            recordOwnRead(engine, session, connection.group, connection.database, reply.position);
        }
        break;
    default:
        reportEvent(engine,
                    "relayed_statement_failed",
                    {{"request", running.statement.id},
                     {"holder", connection.database.value()},
                     {"code", std::string(toString(reply.code))},
                     {"why", reply.detail},
                     {"after_ms", toMillisText(now - running.arrivedAt)}});
        break;
    }
    replyToStatement(engine, session, toClient(reply), now);
}

void holderLacksPrimary(proxy_engine &engine, const database_connection &connection, time_point now)
{
    if (database_state *holder = databaseOf(engine, connection)) {
        holder->lacksPrimaryUntil = now + lacksPrimaryValidFor;
    }
}

bool refuseWithoutPrimary(proxy_engine &engine, group_state &group, client_session &session, time_point now)
{
    if (!session.relayed || !session.current) {
        return false;
    }
    const auto primary = group.primary ? group.databases.find(*group.primary) : group.databases.end();
    const bool outOfReach = primary == group.databases.end() || primary->second.suspectedSince != time_point{};
    if (!outOfReach && hasOpenConnection(engine, primary->second)) {
        return false;
    }
    // Before that, it did not need the primary: no other holder would serve it sooner.
    const std::optional<statement_run> &earlierRun = session.current->earlierRun;
    const time_point needsPrimarySince =
        std::max({session.current->arrivedAt, session.heldByLimitAt, earlierRun ? earlierRun->replyDueAt : time_point{}});
    const time_point refuseAt = needsPrimarySince + (outOfReach ? primaryWait : firstConnectionWait);
    if (now < refuseAt) {
        scheduleTimer(engine, refuseAt, timer_kind::dispatch, 0, group.name);
        return false;
    }
    if (earlierRun && !isAtSuspectedDatabase(engine, *earlierRun)) {
        awaitEarlierRun(engine, session, now);
        return true;
    }
    refuseStatement(engine, session, reply_code::misrouted, "the primary is out of reach from here", now);
    return true;
}

bool restartElsewhere(proxy_engine &engine, database_connection &connection, client_session &session, reply_code code, time_point now)
{
    const bool otherConfiguration = code == reply_code::unauthorized;
    if (!connection.toHolder || (code != reply_code::misrouted && !otherConfiguration)) {
        return false;
    }
    const duration pause =
        otherConfiguration ? otherConfigurationBackoff : pauseBeforeNextHolder(session.transaction->excludedDatabases.size() + 1);
    if (!beginElsewhere(engine, connection, session, pause, now)) {
        return false;
    }
    if (!otherConfiguration) {
        holderLacksPrimary(engine, connection, now);
    }
    releaseConnection(engine, connection.id, now);
    return true;
}

bool beginElsewhere(proxy_engine &engine, const database_connection &connection, client_session &session, duration pause, time_point now)
{
    client_transaction &transaction = *session.transaction;
    if (transaction.statements != 1 || transaction.excludedDatabases.size() >= maxRestarts) {
        return false;
    }
    transaction.excludedDatabases.push_back(connection.database);
    transaction.statements = 0;
    transaction.notBefore = now + pause;
    scheduleTimer(engine, transaction.notBefore, timer_kind::dispatch, 0, connection.group);
    transaction.connection = database_connection_id{};
    transaction.phase = transaction_phase::waitingForConnection;
    session.current->connection = database_connection_id{};
    queueForConnection(engine, session, now);
    return true;
}

void workNotHandled(proxy_engine &engine, database_state &holder, const database_connection &connection, sent_work lastSent, time_point now)
{
    engine.counters.relayedNotHandled += 1;
    reportEvent(engine,
                "relayed_not_handled",
                {{"holder", connection.database.value()},
                 {"session", std::to_string(connection.session.value())},
                 {"why", lastSent == sent_work::notTaken ? "no new channels" : "channel closed"}});
    // It is alive: it has replied.
    holder.lastReplyAt = now;
    if (lastSent == sent_work::notTaken) {
        avoidClosingHolder(engine, holder, now);
    }
}

void delayBegin(proxy_engine &engine, const group_state &group, client_transaction &transaction, reply_code code, time_point now)
{
    const bool otherConfiguration = code == reply_code::unauthorized;
    transaction.notBefore = now + (otherConfiguration ? otherConfigurationBackoff : engine.settings.overloadBackoff);
    scheduleTimer(engine, transaction.notBefore, timer_kind::dispatch, 0, group.name);
}

bool awaitHolder(proxy_engine &engine, group_state &group, database_state &holder, const running_statement &running, time_point now)
{
    // The statement may wait at the holder for as long as its deadline allows; only the holder itself must be responsive.
    if (holder.lastReplyAt >= running.sentAt && now - holder.lastReplyAt < engine.settings.replyTimeout) {
        return true;
    }
    const bool asked = holder.roleAskedAt >= running.sentAt && holder.roleAskedAt > holder.lastReplyAt;
    if (asked) {
        return now - holder.roleAskedAt < pingTimeout;
    }
    askHolder(engine, group, holder, now);
    return true;
}

void askHolder(proxy_engine &engine, group_state &group, database_state &holder, time_point now)
{
    holder.roleAskedAt = now;
    if (database_connection *connection = findOrOpenToHolder(engine, group, holder, {}, now)) {
        sendProbe(engine, *connection, probe_request{.status = true}, now);
    }
}

void channelOpened(proxy_engine &engine, database_connection &connection, time_point now)
{
    const database_state *holder = databaseOf(engine, connection);
    const bool awaitsReply = holder != nullptr && holder->roleAskedAt > holder->lastReplyAt;
    if (awaitsReply) {
        sendProbe(engine, connection, probe_request{.status = true}, now);
    }
}

void suspectHolder(proxy_engine &engine, const database_name &name, const char *reason, time_point now)
{
    for (auto &[groupName, group] : engine.groups) {
        const auto holder = group.holders.find(name);
        if (holder != group.holders.end()) {
            markSuspected(engine, group, holder->second, reason, now);
        }
    }
}

void trustHolder(proxy_engine &engine, const database_name &name, time_point now)
{
    for (auto &[groupName, group] : engine.groups) {
        const auto holder = group.holders.find(name);
        if (holder != group.holders.end()) {
            holder->second.suspectedSince = time_point{};
            holder->second.openNotBefore = time_point{};
            holder->second.lastReplyAt = now;
            engine.groupsToDispatch.insert(groupName);
        }
    }
}

void dropHolder(proxy_engine &engine, const database_name &name, time_point now)
{
    // All groups share the link.
    std::vector<database_connection_id> connections;
    std::string address;
    for (auto &[groupName, group] : engine.groups) {
        const auto holder = group.holders.find(name);
        if (holder != group.holders.end()) {
            address = holder->second.listed.address;
            connections.insert(connections.end(), holder->second.connections.begin(), holder->second.connections.end());
        }
    }
    for (const database_connection_id id : connections) {
        engine.actions.emplace_back(close_database_connection{id});
    }
    engine.actions.emplace_back(drop_holder_link{address});
    for (const database_connection_id id : connections) {
        onConnectionClosed(engine, id, now);
    }
}

void probeHolders(proxy_engine &engine, group_state &group, time_point now)
{
    bool anySuspected = false;
    for (auto &[name, holder] : group.holders) {
        if (holder.suspectedSince == time_point{}) {
            continue;
        }
        anySuspected = true;
        time_point &probedAt = engine.holderProbedAt[name];
        if (now - probedAt < pingTimeout) {
            continue;
        }
        const bool unanswered = probedAt > holder.lastReplyAt && probedAt >= holder.suspectedSince;
        probedAt = now;
        if (unanswered) {
            dropHolder(engine, name, now);
        }
        askHolder(engine, group, holder, now);
    }
    if (anySuspected) {
        scheduleGroupCheck(engine, group, now + overdueCheckInterval);
    }
}

} // namespace proxying

} // namespace mustardrouter
