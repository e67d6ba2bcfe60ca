#include "mustardrouter/Instance/decision_duty.h"

#include "mustardrouter/Membership/rendezvous.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>
#include <chrono>

namespace mustardrouter
{

namespace
{

constexpr auto tickInterval = std::chrono::milliseconds(5);
constexpr auto statusInterval = std::chrono::milliseconds(200);
/// Connections of different groups get numbers from different ranges.
constexpr unsigned connectionRangeBits = 40;

pool_limits limitsOf(const database &item)
{
    return {item.slots, item.connections};
}

} // namespace

decision_inputs::decision_inputs(std::size_t capacity)
    : links(capacity, signal)
    , records(capacity, signal)
    , discoveries(capacity, signal)
    , commands(capacity, signal)
{
}

decision_duty::decision_duty(decision_identity identity, decision_inputs &inputs, decision_outputs outputs)
    : m_identity(std::move(identity))
    , m_inputs(inputs)
    , m_outputs(outputs)
    , m_entry(m_identity.tokenKey, entry_settings{})
    , m_random(std::random_device{}())
{
    mergeInstance(m_directory, m_identity.self);
}

decision_duty::~decision_duty()
{
    stop();
}

void decision_duty::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void decision_duty::stop()
{
    m_stopping.store(true);
    m_inputs.signal.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool decision_duty::isDrained() const
{
    return m_drained.load();
}

Json::Value decision_duty::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

time_point decision_duty::now() const
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since));
}

std::uint64_t decision_duty::unixNanos()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(since).count());
}

void decision_duty::run()
{
    time_point tickAt = now();
    time_point statusAt = tickAt;
    while (!m_stopping.load()) {
        m_inputs.signal.wait(tickInterval);
        while (std::optional<link_event> event = m_inputs.links.pop()) {
            onLink(*event);
        }
        while (std::optional<platform_event> event = m_inputs.records.pop()) {
            onPlatform(*event);
        }
        while (std::optional<platform_event> event = m_inputs.discoveries.pop()) {
            onPlatform(*event);
        }
        while (const std::optional<operator_command> command = m_inputs.commands.pop()) {
            onCommand(*command);
        }
        if (now() >= tickAt) {
            tickAt = now() + tickInterval;
            for (auto &[group, engine] : m_engines) {
                stepEngine(group, ownership_event(clock_ticked{}));
            }
            stepEntry(entry_ticked{});
        }
        if (now() >= statusAt) {
            statusAt = now() + statusInterval;
            publishStatus();
        }
        m_outputs.network.flush();
    }
}

void decision_duty::onPlatform(platform_event &event)
{
    if (auto *listed = std::get_if<instances_listed>(&event)) {
        const bool changed = mergeList(m_directory, listed->instances);
        const bool firstTime = !m_listed && m_directory.instances.contains(m_identity.self.name);
        m_listed = m_listed || firstTime;
        mergeInstance(m_directory, m_identity.self);
        if (changed || firstTime) {
            updateRankings();
        }
        return;
    }
    if (auto *loaded = std::get_if<configuration_loaded>(&event)) {
        adopt(loaded->snapshot);
        return;
    }
    auto &record = std::get<record_event>(event);
    const auto *read = std::get_if<record_read>(&record.event);
    if (read != nullptr) {
        holders_found found{record.group, {}};
        for (const term_range &range : read->record.ranges) {
            m_addresses[range.holder] = range.address;
            found.holders.push_back(range.holder);
        }
        stepEntry(found);
    }
    if (record.fromRead && m_recordsWanted.erase(record.group) > 0) {
        // Only the entry asked: an answer that the ownership did not wait for is still news to it.
        const auto engine = m_engines.find(record.group);
        const bool expected = engine != m_engines.end() && engine->second.ownership.platformAsked;
        if (!expected) {
            return;
        }
    }
    stepEngine(record.group, ownership_event(record.event));
}

void decision_duty::adopt(const std::shared_ptr<const configuration_snapshot> &snapshot)
{
    if (m_configuration && snapshot->revision <= m_configuration->revision) {
        return;
    }
    m_configuration = snapshot;
    for (const auto &[name, group] : snapshot->groups) {
        const group_name key(name);
        if (m_engines.contains(key)) {
            continue;
        }
        std::vector<database_name> names;
        std::map<database_name, pool_limits> limits;
        for (const database &item : group.databases) {
            names.push_back(item.name);
            limits.emplace(item.name, limitsOf(item));
        }
        ownership_settings intervals;
        intervals.confirmReplicas = group.confirmReplicas;
        group_ownership ownership(key, m_identity.self.name, m_identity.self.address, std::move(names), intervals);
        group_engine engine(std::move(ownership), limits, engine_settings{});
        engine.nextConnection = (static_cast<std::uint64_t>(m_engines.size()) << connectionRangeBits) + 1;
        m_engines.emplace(key, std::move(engine));
    }
    m_outputs.figures.setRevision(static_cast<double>(snapshot->revision.value()));
    updateRankings();
    stepEntry(configuration_adopted{snapshot});
}

void decision_duty::updateRankings()
{
    // Until the platform lists this instance, it cannot tell who else there is.
    if (!m_listed) {
        return;
    }
    std::vector<instance_name> live;
    for (const instance_view &view : liveInstances(m_directory)) {
        live.push_back(view.name);
        m_addresses[view.name] = view.address;
    }
    for (auto &[group, engine] : m_engines) {
        candidates_changed changed;
        for (const instance_name &name : rankInstances(group.value(), live)) {
            changed.ranking.push_back({name, m_addresses[name], {}, {}});
        }
        stepEngine(group, ownership_event(changed));
    }
}

void decision_duty::onCommand(const operator_command &command)
{
    if (const auto *move = std::get_if<move_primary>(&command)) {
        writeLog(log_level::info, "decisions", "an operator moves a primary", {{"group", move->group.value()}});
        stepEngine(move->group, ownership_event(primary_change_requested{move->to}));
        return;
    }
    beginDraining();
}

void decision_duty::beginDraining()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_identity.self.leaving = true;
    mergeInstance(m_directory, m_identity.self);
    updateRankings();
    m_outputs.network.stopAccepting();
    for (auto &[group, engine] : m_engines) {
        stepEngine(group, ownership_event(resignation_requested{}));
    }
}

void decision_duty::post(platform_job job)
{
    if (m_outputs.platform.post(job) == failure::none) {
        return;
    }
    std::visit(
        [&](const auto &what) {
            stepEngine(what.group, ownership_event(record_unanswered{}));
        },
        job);
}

void decision_duty::publishStatus()
{
    Json::Value status(Json::objectValue);
    status["instance"] = m_identity.self.name.value();
    status["revision"] = Json::UInt64(m_configuration ? m_configuration->revision.value() : 0);
    status["draining"] = m_draining;
    status["groups"] = Json::Value(Json::objectValue);
    bool busy = !m_entry.inFlight.empty();
    for (const auto &[group, engine] : m_engines) {
        const group_ownership &ownership = engine.ownership;
        const bool owns = ownership.role == ownership_role::owner;
        busy = busy || owns || !isQuiet(engine);
        m_outputs.figures.setWaiting(group.value(), static_cast<double>(waitingCount(engine.queue)));
        Json::Value item(Json::objectValue);
        item["role"] = owns ? "owner" : (ownership.role == ownership_role::deputy ? "deputy" : "bystander");
        item["term"] = Json::UInt64(ownership.term.value());
        item["primary"] = ownership.primary.value();
        item["serving"] = isServing(ownership);
        item["confirmed"] = Json::UInt64(confirmedPosition(ownership).value());
        item["waiting"] = Json::UInt64(waitingCount(engine.queue));
        for (const database_view &view : ownership.databases) {
            Json::Value shown(Json::objectValue);
            shown["name"] = view.name.value();
            shown["term"] = Json::UInt64(view.report.term.value());
            shown["received"] = Json::UInt64(view.report.received.position.value());
            shown["applied"] = Json::UInt64(view.report.applied.position.value());
            shown["inSync"] = view.report.inSync;
            shown["connections"] = Json::UInt64(engine.pools.at(view.name).connections.size());
            item["databases"].append(shown);
        }
        status["groups"][group.value()] = item;
    }
    for (const auto &[name, view] : m_directory.instances) {
        Json::Value item(Json::objectValue);
        item["address"] = view.address;
        item["place"] = view.place;
        item["incarnation"] = Json::UInt64(view.incarnation);
        item["leaving"] = view.leaving;
        status["instances"][name.value()] = item;
    }
    m_drained.store(m_draining && !busy);
    const std::lock_guard lock(m_statusMutex);
    m_status = std::move(status);
}

std::string decision_duty::newId(std::size_t letters)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    std::string id;
    std::uint64_t bits = 0;
    for (std::size_t index = 0; index < letters; ++index) {
        if (index % 16 == 0) {
            bits = m_random();
        }
        id += digits[bits & 0xfU];
        bits >>= bitsPerDigit;
    }
    return id;
}

trace_context decision_duty::newSpan(const trace_context &parent)
{
    constexpr std::size_t traceLetters = 32;
    constexpr std::size_t spanLetters = 16;
    trace_context context = parent;
    if (context.traceId.empty()) {
        context.traceId = newId(traceLetters);
        context.sampled = std::uniform_real_distribution<>(0, 1)(m_random) < m_identity.traceSample;
    }
    context.spanId = newId(spanLetters);
    return context;
}

} // namespace mustardrouter
