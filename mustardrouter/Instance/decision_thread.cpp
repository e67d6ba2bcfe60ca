#include "mustardrouter/Instance/decision_thread.h"

#include "mustardrouter/Runtime/log.h"
#include "mustardrouter/Runtime/thread_name.h"

#include <algorithm>
#include <chrono>

namespace mustardrouter
{

namespace
{

constexpr auto tickInterval = std::chrono::milliseconds(5);
constexpr auto metricsInterval = std::chrono::milliseconds(200);
/// status() returns the previous status when the decision thread does not answer within this time.
constexpr auto statusTimeout = std::chrono::milliseconds(500);
/// Between two checks for expired instances and removed groups.
constexpr auto membershipInterval = std::chrono::milliseconds(200);

} // namespace

decision_inputs::decision_inputs(std::size_t capacity)
    : networkEvents(capacity, signal)
    , recordEvents(capacity, signal)
    , discoveryEvents(capacity, signal)
    , commands(capacity, signal)
{
}

decision_thread::decision_thread(decision_settings settings, decision_inputs &inputs, decision_outputs outputs)
    : m_settings(std::move(settings))
    , m_inputs(inputs)
    , m_outputs(outputs)
    , m_entry(m_settings.tokenKey, entry_settings{})
    , m_distribution(distribution_settings{}, m_settings.self.incarnation)
    , m_random(std::random_device{}())
{
}

decision_thread::~decision_thread()
{
    stop();
}

void decision_thread::start()
{
    m_thread = std::thread([this] {
        nameThread("decisions");
        run();
    });
}

void decision_thread::stop()
{
    m_stopping.store(true);
    m_inputs.signal.notify();
    m_statusPublished.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::uint64_t decision_thread::revision() const
{
    return m_revision.load();
}

bool decision_thread::isDrained() const
{
    return m_drained.load();
}

Json::Value decision_thread::status()
{
    std::unique_lock lock(m_statusMutex);
    const std::uint64_t requested = ++m_statusRequested;
    m_inputs.signal.notify();
    m_statusPublished.wait_for(lock, statusTimeout, [&] {
        return m_statusAnswered >= requested || m_stopping.load();
    });
    return m_status;
}

time_point decision_thread::now() const
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since));
}

std::uint64_t decision_thread::unixNanos()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(since).count());
}

void decision_thread::run()
{
    time_point tickAt = now();
    time_point metricsAt = tickAt;
    time_point membershipAt = tickAt;
    chooseSources();
    while (!m_stopping.load()) {
        m_inputs.signal.wait(timeToWait());
        while (std::optional<network_event> event = m_inputs.networkEvents.pop()) {
            onNetworkEvent(*event);
        }
        while (std::optional<platform_event> event = m_inputs.recordEvents.pop()) {
            onPlatform(*event);
        }
        while (std::optional<platform_event> event = m_inputs.discoveryEvents.pop()) {
            onPlatform(*event);
        }
        while (const std::optional<operator_command> command = m_inputs.commands.pop()) {
            onCommand(*command);
        }
        startDueRounds();
        if (now() >= tickAt) {
            tickAt = now() + tickInterval;
            for (const group_name &group : m_wakeups.due(now())) {
                stepEngine(group, ownership_event(clock_ticked{}));
            }
            stepEntry(entry_ticked{});
        }
        if (now() >= membershipAt) {
            membershipAt = now() + membershipInterval;
            refreshInstances();
            stepDistribution(distribution_ticked{});
            dropRemovedGroups();
        }
        if (now() >= metricsAt) {
            metricsAt = now() + metricsInterval;
            publishMetrics();
        }
        answerStatus();
        m_outputs.network.flush();
    }
}

/// Time until the next tick, or until the next round of reports that pending answers depend on.
std::chrono::microseconds decision_thread::timeToWait() const
{
    std::chrono::microseconds wait = tickInterval;
    for (const auto &[group, due] : m_roundsDue) {
        wait = std::min(wait, std::max(due - now(), duration::zero()));
    }
    return wait;
}

void decision_thread::startDueRounds()
{
    const auto rounds = m_roundsDue;
    for (const auto &[group, due] : rounds) {
        if (now() >= due) {
            stepEngine(group, ownership_event(clock_ticked{}));
        }
    }
}

void decision_thread::onPlatform(platform_event &event)
{
    if (auto *listed = std::get_if<instances_listed>(&event)) {
        applyInstanceList(listed->instances);
        return;
    }
    if (auto *loaded = std::get_if<configuration_loaded>(&event)) {
        stepDistribution(configuration_read{loaded->snapshot});
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
    if (record.fromRead && m_recordsRequestedByEntry.erase(record.group) > 0) {
        // The read was for the entry only: group_ownership has no request pending and must not see the result.
        const auto engine = m_engines.find(record.group);
        const bool expected = engine != m_engines.end() && engine->second.ownership.recordRequestPending;
        if (!expected) {
            return;
        }
    }
    stepEngine(record.group, ownership_event(record.event));
}

void decision_thread::onCommand(const operator_command &command)
{
    if (const auto *move = std::get_if<move_primary>(&command)) {
        writeLog(log_level::info, "decisions", "operator requested a primary change", {{"group", move->group.value()}});
        stepEngine(move->group, ownership_event(primary_change_requested{move->to}));
        return;
    }
    if (const auto *force = std::get_if<force_promotion>(&command)) {
        writeLog(log_level::warning, "decisions", "operator forced a promotion without a quorum", {{"group", force->group.value()}});
        stepEngine(force->group, ownership_event(promotion_forced{force->excludedFromQuorum}));
        return;
    }
    beginDraining();
}

void decision_thread::beginDraining()
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_drainingSince = now();
    m_settings.self.leaving = true;
    refreshInstances();
    m_outputs.network.stopAccepting();
    for (auto &[connection, use] : m_connections) {
        if (std::holds_alternative<caller_connection>(use)) {
            sendShutdownNotice(connection);
        } else if (auto *peer = std::get_if<peer_connection>(&use)) {
            // The next message carries the instance's new state, which says that it is leaving.
            peer->identitySent = false;
        }
    }
    for (auto &[group, engine] : m_engines) {
        stepEngine(group, ownership_event(resignation_requested{}));
    }
}

void decision_thread::post(platform_job job)
{
    if (m_outputs.platform.post(job) == failure::none) {
        return;
    }
    std::visit(
        [&](const auto &what) {
            stepEngine(what.group, ownership_event(record_request_failed{}));
        },
        job);
}

} // namespace mustardrouter
