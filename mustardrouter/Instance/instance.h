#pragma once

#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/discovery_thread.h"
#include "mustardrouter/Instance/network_thread.h"
#include "mustardrouter/Instance/platform_thread.h"
#include "mustardrouter/Instance/telemetry_thread.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Runtime/json_rpc_server.h"
#include "mustardrouter/Runtime/metrics.h"
#include "mustardrouter/Schema/objects.pb.h"

#include <chrono>
#include <memory>
#include <string>

namespace mustardrouter
{

/// One instance: entry and owner, with separate threads for network, decisions, platform access and
/// telemetry. Usually one in a process; demos and tests run several in one process.
class instance
{
public:
    explicit instance(const objects::instance_settings &settings);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Starts all threads; failure::addressUnavailable when an address cannot be bound.
    result_of<void> start();
    /// Hands over all groups, finishes the requests in flight, and stops; waits at most `timeout`.
    /// Returns whether everything finished in time.
    bool shutDown(std::chrono::milliseconds timeout);
    /// Stops at once without draining, as a killed process would.
    void kill();

    const std::string &name() const;
    std::string callerAddress() const;
    std::string controlAddress() const;
    Json::Value status() const;
    /// Revision of the configuration in force.
    std::uint64_t revision() const;

private:
    Json::Value onControl(const std::string &method, const Json::Value &parameters);
    Json::Value traces(const Json::Value &parameters);
    failure command(operator_command what);
    void stopThreads();

    objects::instance_settings m_settings;
    std::string m_name;
    metrics m_metrics;
    decision_inputs m_inputs;
    network_thread m_network;
    platform_thread m_platform;
    telemetry_thread m_telemetry;
    recent_traces m_recent;
    std::unique_ptr<discovery_thread> m_discovery;
    std::unique_ptr<decision_thread> m_decisions;
    std::unique_ptr<json_rpc_server> m_control;
    std::mutex m_commandMutex;
};

} // namespace mustardrouter
