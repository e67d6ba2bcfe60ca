#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Ownership/ownership_event.h"
#include "mustardrouter/Ownership/ownership_record.h"
#include "mustardrouter/Platform/configuration_store.h"
#include "mustardrouter/Platform/platform_client.h"
#include "mustardrouter/Runtime/ring.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Reads a group's record.
struct read_record_job {
    group_name group;
};

/// Writes a group's record if its version is unchanged.
struct write_record_job {
    group_name group;
    ownership_record record;
};

/// What the decision thread asks of the platform thread.
using platform_job = std::variant<read_record_job, write_record_job>;

/// What the platform said about a group's record.
struct record_event {
    group_name group;
    ownership_event event;
    /// Whether a read brought it.
    bool fromRead = false;
};

/// The platform's list of instances.
struct instances_listed {
    std::vector<instance_view> instances;
};

/// A newer configuration.
struct configuration_loaded {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// What the platform threads tell the decision thread.
using platform_event = std::variant<record_event, instances_listed, configuration_loaded>;

/// The thread that reads and writes ownership records. Calls block, so nothing else waits here.
class platform_duty
{
public:
    platform_duty(std::string platformAddress, ring<platform_event> &events, std::size_t jobCapacity);
    ~platform_duty();
    platform_duty(const platform_duty &) = delete;
    platform_duty &operator=(const platform_duty &) = delete;

    void start();
    void stop();
    /// Queues a job; called by the decision thread alone.
    failure post(platform_job job);

private:
    void run();
    void work(platform_client &platform, const read_record_job &job);
    void work(platform_client &platform, const write_record_job &job);
    void answer(const group_name &group, ownership_event event, bool fromRead);

    std::string m_address;
    ring<platform_event> &m_events;
    ring_signal m_signal;
    ring<platform_job> m_jobs;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// The thread that follows the configuration and the platform's list of instances.
class discovery_duty
{
public:
    discovery_duty(std::string platformAddress, instance_view self, ring<platform_event> &events);
    ~discovery_duty();
    discovery_duty(const discovery_duty &) = delete;
    discovery_duty &operator=(const discovery_duty &) = delete;

    void start();
    void stop();
    /// Tells the platform that this instance leaves.
    void announceLeaving();

private:
    void run();
    void followConfiguration(platform_client &platform);
    void followInstances(platform_client &platform);

    std::string m_address;
    instance_view m_self;
    ring<platform_event> &m_events;
    configuration_snapshot m_known;
    bool m_announced = false;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mustardrouter
