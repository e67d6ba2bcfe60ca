#pragma once

#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Platform/platform_client.h"
#include "mustardrouter/Runtime/json_rpc_server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Faults injected into the platform stand-in.
struct platform_faults {
    /// Every call fails without effect.
    bool down = false;
    /// Number of updates that still take effect but whose answers are dropped.
    int answersToDrop = 0;
    /// Added to the duration of every call.
    std::chrono::milliseconds delay{0};
};

/// Number of calls that `down` did not fail; `pendingWatches` counts the watches that wait for a change.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t pendingWatches = 0;
};

/// Small in-memory stand-in for the platform: versioned objects, conditional updates, watches, and a list of instances
/// that shows changes only after a lag.
class platform_standin
{
public:
    platform_standin(const std::string &address, std::chrono::milliseconds listLag);
    ~platform_standin();

    /// Starts serving; false when it cannot listen on the address.
    bool start();
    void stop();
    /// Listening address as "IP:PORT".
    std::string address() const;

    void setFaults(const platform_faults &faults);
    platform_counts counts() const;
    /// Marks an instance as gone, as the platform's health checks do; the list shows it after the lag.
    void markGone(const std::string &instance);

private:
    struct listed_instance {
        instance_view view;
        std::chrono::steady_clock::time_point visibleAt;
        bool gone = false;
    };

    Json::Value handle(const std::string &method, const Json::Value &parameters);
    Json::Value get(const Json::Value &parameters);
    Json::Value put(const Json::Value &parameters);
    Json::Value remove(const Json::Value &parameters);
    Json::Value list(const Json::Value &parameters);
    Json::Value watch(const Json::Value &parameters);
    Json::Value instances();
    Json::Value announce(const Json::Value &parameters);
    void requireVersion(const std::string &key, std::uint64_t version) const;
    bool takeAnswerToDrop();

    std::string m_host;
    std::chrono::milliseconds m_listLag;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    platform_faults m_faults;
    platform_counts m_counts;
    std::map<std::string, platform_object> m_objects;
    std::uint64_t m_version = 0;
    /// States of each instance, oldest first; the list shows the latest one whose lag has passed.
    std::map<std::string, std::deque<listed_instance>> m_instances;
    bool m_stopping = false;
    json_rpc_server m_server;
};

} // namespace mustardrouter
