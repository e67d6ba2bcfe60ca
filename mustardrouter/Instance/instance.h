#pragma once

#include "mustardrouter/Instance/decision_duty.h"
#include "mustardrouter/Instance/discovery_duty.h"
#include "mustardrouter/Instance/network_duty.h"
#include "mustardrouter/Instance/platform_duty.h"
#include "mustardrouter/Instance/telemetry_duty.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Runtime/json_rpc_server.h"
#include "mustardrouter/Runtime/metrics.h"
#include "mustardrouter/Schema/objects.pb.h"

#include <chrono>
#include <memory>
#include <string>

namespace mustardrouter
{

/// One daemon: entry and owner, with a thread for each duty. In a process of its own or, for
/// demos and tests, several in one process.
class instance
{
public:
    explicit instance(const objects::instance_settings &settings);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Starts all duties; failure::addressUnavailable when an address cannot be had.
    result_of<void> start();
    /// Hands over all groups, finishes what is in flight, and stops; at most `timeout`.
    /// True when nothing was cut off.
    bool shutDown(std::chrono::milliseconds timeout);
    /// Ends at once, as a killed process does.
    void kill();

    const std::string &name() const;
    std::string callerAddress() const;
    std::string controlAddress() const;
    Json::Value status() const;
    /// Revision of the configuration that is in force.
    std::uint64_t revision() const;

private:
    Json::Value onControl(const std::string &method, const Json::Value &parameters);
    Json::Value traces(const Json::Value &parameters);
    failure command(operator_command what);
    void stopDuties();

    objects::instance_settings m_settings;
    std::string m_name;
    metrics m_metrics;
    decision_inputs m_inputs;
    network_duty m_network;
    platform_duty m_platform;
    telemetry_duty m_telemetry;
    recent_traces m_recent;
    std::unique_ptr<discovery_duty> m_discovery;
    std::unique_ptr<decision_duty> m_decisions;
    std::unique_ptr<json_rpc_server> m_control;
    std::mutex m_commandMutex;
};

} // namespace mustardrouter
