#pragma once

#include "mustardrouter/Instance/platform_event.h"
#include "mustardrouter/Platform/platform_client.h"
#include "mustardrouter/Runtime/ring.h"

#include <atomic>
#include <string>
#include <thread>

namespace mustardrouter
{

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
