#include "mustardrouter/Instance/decision_thread.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Longest time to wait for callers to disconnect from an entry that shuts down.
constexpr duration callerDrainTimeout = std::chrono::seconds(2);

const char *nameOf(ownership_role role)
{
    switch (role) {
    case ownership_role::bystander:
        return "bystander";
    case ownership_role::deputy:
        return "deputy";
    case ownership_role::claiming:
        return "claiming";
    case ownership_role::owner:
        return "owner";
    }
    return "invalid";
}

const char *nameOf(promotion_phase phase)
{
    switch (phase) {
    case promotion_phase::fencing:
        return "fencing";
    case promotion_phase::promoting:
        return "promoting";
    case promotion_phase::confirming:
        return "confirming";
    case promotion_phase::serving:
        return "serving";
    }
    return "invalid";
}

/// Number of log entries that the primary has and the database has not applied.
std::uint64_t lagOf(const group_engine &engine, const database_view &view)
{
    const database_view *primary = findDatabase(engine.ownership, engine.ownership.primary);
    const std::uint64_t head = primary == nullptr ? 0 : primary->report.received.position.value();
    const std::uint64_t applied = view.report.applied.position.value();
    return head > applied ? head - applied : 0;
}

Json::Value makeDatabaseStatus(const group_engine &engine, const database_view &view)
{
    const connection_pool &pool = engine.pools.at(view.name);
    Json::Value item(Json::objectValue);
    item["name"] = view.name.value();
    item["term"] = Json::UInt64(view.report.term.value());
    item["received"] = Json::UInt64(view.report.received.position.value());
    item["applied"] = Json::UInt64(view.report.applied.position.value());
    item["lag"] = Json::UInt64(lagOf(engine, view));
    item["inSync"] = view.report.inSync;
    item["reachable"] = view.reachable;
    item["leaving"] = view.report.leaving;
    item["connections"] = Json::UInt64(pool.connections.size());
    item["connectionLimit"] = pool.limits.connections;
    item["running"] = pool.running;
    item["slots"] = pool.limits.slots;
    return item;
}

void addProblem(Json::Value &problems, const std::string &what, const std::string &advice)
{
    Json::Value item(Json::objectValue);
    item["what"] = what;
    item["advice"] = advice;
    problems.append(item);
}

void addDatabaseProblems(Json::Value &problems, const group_engine &engine, const database_view &view)
{
    const connection_pool &pool = engine.pools.at(view.name);
    if (!view.reachable) {
        addProblem(problems, "database " + view.name.value() + " cannot be reached", "start it, or remove it from the group");
        return;
    }
    const bool replica = view.name != engine.ownership.primary;
    if (replica && isServing(engine.ownership) && !view.report.inSync) {
        addProblem(
            problems, "replica " + view.name.value() + " does not follow the primary", "look at its log; it serves no reads until then");
    }
    if (pool.connections.size() >= pool.limits.connections) {
        addProblem(problems, "all connections to " + view.name.value() + " are open", "raise its limit, or lower the load of a class");
    }
}

/// Problems that degrade the service of a group, each with advice for the operator.
Json::Value findProblems(const group_engine &engine, time_point now)
{
    Json::Value problems(Json::arrayValue);
    const group_ownership &ownership = engine.ownership;
    if (ownership.role != ownership_role::owner) {
        return problems;
    }
    if (availabilityProblem(ownership, now) == failure::noQuorum) {
        addProblem(
            problems, std::string(toString(failure::noQuorum)), "start the missing databases; see the page \"a group has no quorum\"");
    }
    if (!isServing(ownership)) {
        addProblem(
            problems, std::string("the group is not served: ") + nameOf(ownership.phase), "check that a quorum of its databases runs");
    }
    if (ownership.storedRecordOutdated) {
        addProblem(problems, "the platform's record names another owner", "check the platform; the group is served meanwhile");
    }
    if (ownership.record.ranges.size() < holdersPerGroup) {
        addProblem(problems, "the group has too few deputies", "start more instances");
    }
    for (const database_view &view : ownership.databases) {
        addDatabaseProblems(problems, engine, view);
    }
    return problems;
}

} // namespace

void decision_thread::publishMetrics()
{
    // Callers get limited time to move to another entry; clients that ignore the shutdown notice must not block it.
    const bool awaitingCallers = hasCallers() && now() - m_drainingSince < callerDrainTimeout;
    bool busy = !m_entry.inFlight.empty() || !m_entry.transactions.empty() || awaitingCallers;
    for (const auto &[group, engine] : m_engines) {
        const bool owns = engine.ownership.role == ownership_role::owner;
        busy = busy || owns || !isIdle(engine);
        publishGroupMetrics(group, engine);
    }
    const std::uint64_t dropped = m_outputs.telemetry.dropped();
    m_outputs.instanceMetrics.countSpansDropped(static_cast<double>(dropped - m_spansDropped));
    m_spansDropped = dropped;
    m_drained.store(m_draining && !busy);
}

void decision_thread::publishGroupMetrics(const group_name &group, const group_engine &engine)
{
    const bool serves = isServing(engine.ownership);
    const bool served = m_servedGroups.contains(group);
    if (serves != served) {
        m_outputs.instanceMetrics.setServing(group.value(), serves);
    }
    if (!serves) {
        m_servedGroups.erase(group);
        return;
    }
    m_servedGroups.insert(group);
    m_outputs.instanceMetrics.setWaiting(group.value(), static_cast<double>(waitingCount(engine.queue)));
    for (const database_view &view : engine.ownership.databases) {
        const connection_pool &pool = engine.pools.at(view.name);
        database_gauges gauges;
        gauges.lagEntries = static_cast<double>(lagOf(engine, view));
        gauges.connections = static_cast<double>(pool.connections.size());
        gauges.connectionLimit = pool.limits.connections;
        m_outputs.instanceMetrics.setDatabase(group.value(), view.name.value(), gauges);
    }
}

void decision_thread::answerStatus()
{
    std::uint64_t requested = 0;
    {
        const std::lock_guard lock(m_statusMutex);
        if (m_statusRequested == m_statusAnswered) {
            return;
        }
        requested = m_statusRequested;
    }
    Json::Value made = makeStatus();
    {
        const std::lock_guard lock(m_statusMutex);
        m_status = std::move(made);
        m_statusAnswered = requested;
    }
    m_statusPublished.notify_all();
}

Json::Value decision_thread::makeGroupStatus(const group_engine &engine) const
{
    const group_ownership &ownership = engine.ownership;
    Json::Value item(Json::objectValue);
    item["role"] = nameOf(ownership.role);
    item["term"] = Json::UInt64(ownership.term.value());
    item["owner"] = ownership.record.ranges.empty() ? std::string() : ownership.record.ranges.front().holder.value();
    if (ownership.role != ownership_role::owner) {
        return item;
    }
    item["owner"] = m_settings.self.name.value();
    item["primary"] = ownership.primary.value();
    item["phase"] = nameOf(ownership.phase);
    item["serving"] = isServing(ownership);
    item["confirmed"] = Json::UInt64(confirmedPosition(ownership).value());
    item["waiting"] = Json::UInt64(waitingCount(engine.queue));
    item["running"] = Json::UInt64(engine.running.size());
    item["unconfirmed"] = Json::UInt64(engine.unconfirmed.size());
    item["transactions"] = Json::UInt64(engine.transactions.size());
    item["databases"] = Json::Value(Json::arrayValue);
    for (const database_view &view : ownership.databases) {
        item["databases"].append(makeDatabaseStatus(engine, view));
    }
    item["reads"]["onReplica"] = Json::UInt64(engine.reads.onReplica);
    item["reads"]["caughtUp"] = Json::UInt64(engine.reads.caughtUp);
    item["reads"]["onPrimary"] = Json::UInt64(engine.reads.onPrimary);
    item["degraded"] = findProblems(engine, now());
    return item;
}

Json::Value decision_thread::makeStatus() const
{
    Json::Value status(Json::objectValue);
    status["instance"] = m_settings.self.name.value();
    status["incarnation"] = Json::UInt64(m_settings.self.incarnation);
    status["revision"] = Json::UInt64(m_configuration ? m_configuration->revision.value() : 0);
    status["draining"] = m_draining;
    status["relay"] = m_distribution.relay;
    status["configurationBytes"] = Json::UInt64(m_configurationBytes);
    status["heartbeatBytes"] = Json::UInt64(m_heartbeatBytes);
    status["inFlight"] = Json::UInt64(m_entry.inFlight.size());
    status["groups"] = Json::Value(Json::objectValue);
    for (const auto &[group, engine] : m_engines) {
        status["groups"][group.value()] = makeGroupStatus(engine);
    }
    status["instances"] = Json::Value(Json::objectValue);
    for (const instance_view &view : m_allInstances) {
        Json::Value item(Json::objectValue);
        item["address"] = view.address;
        item["place"] = view.place;
        item["incarnation"] = Json::UInt64(view.incarnation);
        item["leaving"] = view.leaving;
        status["instances"][view.name.value()] = item;
    }
    return status;
}

} // namespace mustardrouter
