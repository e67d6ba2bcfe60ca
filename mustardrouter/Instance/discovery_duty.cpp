#include "mustardrouter/Instance/discovery_duty.h"

#include "mustardrouter/Platform/revision_reader.h"

#include <chrono>

namespace mustardrouter
{

namespace
{

constexpr auto platformTimeout = std::chrono::milliseconds(1000);
constexpr auto discoveryInterval = std::chrono::milliseconds(300);

} // namespace

discovery_duty::discovery_duty(std::string platformAddress, instance_view self, ring<platform_event> &events)
    : m_address(std::move(platformAddress))
    , m_self(std::move(self))
    , m_events(events)
{
}

discovery_duty::~discovery_duty()
{
    stop();
}

void discovery_duty::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void discovery_duty::stop()
{
    m_stopping.store(true);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void discovery_duty::announceLeaving()
{
    m_leaving.store(true);
}

void discovery_duty::run()
{
    platform_client platform(m_address, platformTimeout);
    while (!m_stopping.load()) {
        const bool leaving = m_leaving.load();
        if (!m_announced || leaving != m_self.leaving) {
            m_self.leaving = leaving;
            m_announced = platform.announce(m_self) == failure::none;
        }
        followConfiguration(platform);
        followInstances(platform);
        std::this_thread::sleep_for(discoveryInterval);
    }
}

void discovery_duty::followConfiguration(platform_client &platform)
{
    const auto loaded = loadConfiguration(objectApiOf(platform), m_known);
    if (loaded.why != failure::none || loaded.value.revision <= m_known.revision) {
        return;
    }
    const auto snapshot = std::make_shared<const configuration_snapshot>(loaded.value);
    // A full ring leaves the revision unknown, so that the next turn brings it again.
    if (m_events.push(configuration_loaded{snapshot}) == failure::none) {
        m_known = loaded.value;
    }
}

void discovery_duty::followInstances(platform_client &platform)
{
    const auto listed = platform.instances();
    if (listed.why == failure::none) {
        m_events.push(instances_listed{listed.value});
    }
}

} // namespace mustardrouter
