#pragma once

#include "mustardrouter/Instance/platform_event.h"
#include "mustardrouter/Platform/platform_client.h"
#include "mustardrouter/Platform/revision_reader.h"
#include "mustardrouter/Runtime/ring.h"

#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>

namespace mustardrouter
{

/// The thread that reads the configuration and the list of instances from the platform: once on
/// request, and continuously while this instance is a relay.
class discovery_thread
{
public:
    discovery_thread(std::string platformAddress, instance_view self, ring<platform_event> &events);
    ~discovery_thread();
    discovery_thread(const discovery_thread &) = delete;
    discovery_thread &operator=(const discovery_thread &) = delete;

    void start();
    void stop();
    /// Tells the platform that this instance is leaving. Thread-safe.
    void announceLeaving();
    /// Requests one read of the platform. Thread-safe.
    void poll();
    /// Starts or stops watching the platform. Thread-safe.
    void setWatching(bool on);

private:
    void run();
    void announce(platform_client &platform);
    /// Returns false when a platform call failed or the event ring is full; run() then backs off.
    bool readConfiguration(platform_client &platform);
    bool readUpTo(platform_client &platform, const platform_answer<stored_head> &head);
    bool readInstances(platform_client &platform);
    bool watchOnce(platform_client &platform);
    void backOffAfterFailure();

    std::string m_address;
    instance_view m_self;
    ring<platform_event> &m_events;
    ring_signal m_signal;
    configuration_snapshot m_lastSnapshot;
    /// Version of the head object at which m_lastSnapshot was read.
    std::uint64_t m_headVersion = 0;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_nextListReadAt;
    bool m_announced = false;
    /// Number of consecutive lists that included this instance.
    int m_consecutiveListings = 0;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_polling{false};
    std::atomic<bool> m_watching{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mustardrouter
