#include "mustardrouter/Instance/discovery_thread.h"

#include "mustardrouter/Runtime/thread_name.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr auto platformTimeout = std::chrono::milliseconds(1000);
/// Longest duration of one watch call, which also bounds the delay of stop().
constexpr auto watchTimeout = std::chrono::milliseconds(500);
/// Between two reads of the instance list by a relay.
constexpr auto listInterval = std::chrono::milliseconds(1000);
/// Between two reads during startup.
constexpr auto unlistedInterval = std::chrono::milliseconds(200);
/// Consecutive lists that must include this instance before it relies on relays for further lists.
constexpr int listingsBeforeIdle = 3;
constexpr auto idlePollInterval = std::chrono::milliseconds(100);
/// Shortest backoff after a failed platform call; jitter adds up to the same again.
constexpr auto failureBackoff = std::chrono::milliseconds(200);

} // namespace

discovery_thread::discovery_thread(std::string platformAddress, instance_view self, ring<platform_event> &events)
    : m_address(std::move(platformAddress))
    , m_self(std::move(self))
    , m_events(events)
    , m_random(m_self.incarnation)
{
}

discovery_thread::~discovery_thread()
{
    stop();
}

void discovery_thread::start()
{
    m_thread = std::thread([this] {
        nameThread("discovery");
        run();
    });
}

void discovery_thread::stop()
{
    m_stopping.store(true);
    m_signal.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void discovery_thread::announceLeaving()
{
    m_leaving.store(true);
    m_signal.notify();
}

void discovery_thread::poll()
{
    m_polling.store(true);
    m_signal.notify();
}

void discovery_thread::setWatching(bool on)
{
    m_watching.store(on);
    m_signal.notify();
}

void discovery_thread::run()
{
    platform_client platform(m_address, platformTimeout);
    while (!m_stopping.load()) {
        announce(platform);
        bool answered = true;
        const bool isStarting = m_consecutiveListings < listingsBeforeIdle;
        if (m_watching.load()) {
            answered = watchOnce(platform);
        } else if (m_polling.exchange(false) || isStarting) {
            answered = readConfiguration(platform) && readInstances(platform);
            m_signal.wait(isStarting ? unlistedInterval : idlePollInterval);
        } else {
            m_signal.wait(idlePollInterval);
        }
        if (!answered) {
            backOffAfterFailure();
        }
    }
}

void discovery_thread::backOffAfterFailure()
{
    const auto extra = std::uniform_int_distribution<std::int64_t>(0, failureBackoff.count())(m_random);
    m_signal.wait(failureBackoff + std::chrono::milliseconds(extra));
}

void discovery_thread::announce(platform_client &platform)
{
    const bool leaving = m_leaving.load();
    if (m_announced && leaving == m_self.leaving) {
        return;
    }
    instance_view self = m_self;
    self.leaving = leaving;
    m_announced = platform.announce(self) == failure::none;
    if (m_announced) {
        m_self.leaving = leaving;
    }
}

bool discovery_thread::watchOnce(platform_client &platform)
{
    if (m_headVersion == 0 && !readConfiguration(platform)) {
        return false;
    }
    const auto changed = platform.watch(configurationHeadKey, m_headVersion, watchTimeout);
    if (changed.cause != failure::none) {
        return false;
    }
    // The watch returns the head itself, which saves a call to a possibly slow platform.
    if (!changed.value.empty() && !readUpTo(platform, parseHead(changed.value.front()))) {
        return false;
    }
    return std::chrono::steady_clock::now() < m_nextListReadAt || readInstances(platform);
}

bool discovery_thread::readConfiguration(platform_client &platform)
{
    return readUpTo(platform, readHead(objectApiOf(platform)));
}

bool discovery_thread::readUpTo(platform_client &platform, const platform_answer<stored_head> &head)
{
    if (head.cause != failure::none) {
        return false;
    }
    if (head.value.head.revision() <= m_lastSnapshot.revision.value()) {
        m_headVersion = head.value.version;
        return true;
    }
    const auto loaded = loadUpTo(objectApiOf(platform), head.value.head, m_lastSnapshot);
    if (loaded.cause != failure::none) {
        return false;
    }
    // When the ring is full, m_lastSnapshot stays unchanged so that the next iteration retries.
    if (m_events.push(configuration_loaded{std::make_shared<const configuration_snapshot>(loaded.value)}) != failure::none) {
        return false;
    }
    m_lastSnapshot = loaded.value;
    m_headVersion = head.value.version;
    return true;
}

bool discovery_thread::readInstances(platform_client &platform)
{
    const auto listed = platform.instances();
    if (listed.cause != failure::none) {
        return false;
    }
    m_nextListReadAt = std::chrono::steady_clock::now() + listInterval;
    const bool isListed = std::ranges::find(listed.value, m_self.name, &instance_view::name) != listed.value.end();
    m_consecutiveListings = isListed ? m_consecutiveListings + 1 : 0;
    m_events.push(instances_listed{listed.value});
    return true;
}

} // namespace mustardrouter
