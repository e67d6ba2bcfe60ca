#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// An object in the platform's object API.
struct platform_object {
    std::string key;
    std::string value;
    /// Increases with each update; zero when the object does not exist.
    std::uint64_t version = 0;
};

/// Answer of the platform. The cause is failure::none, failure::versionConflict, or
/// failure::platformUnavailable, after which an update may or may not have taken effect.
template<typename Value>
struct platform_answer {
    failure cause = failure::none;
    Value value{};
};

/// Blocking client of the platform's object API; not thread-safe.
class platform_client
{
public:
    platform_client(const std::string &address, std::chrono::milliseconds timeout);

    /// Reads one object; version 0 when it does not exist.
    platform_answer<platform_object> get(const std::string &key);
    /// Stores an object if its version is still `object.version`; returns the new version.
    platform_answer<std::uint64_t> put(const platform_object &object);
    /// Removes an object if its version is still `object.version`.
    platform_answer<std::uint64_t> remove(const platform_object &object);
    /// All objects whose key begins with `prefix`.
    platform_answer<std::vector<platform_object>> list(const std::string &prefix);
    /// Waits until an object under `prefix` has a version above `since`, or until `maxWait` has passed.
    platform_answer<std::vector<platform_object>> watch(const std::string &prefix, std::uint64_t since, std::chrono::milliseconds maxWait);
    /// The platform's list of instances, which lags behind the actual state.
    platform_answer<std::vector<instance_view>> instances();
    /// Announces to the platform that an instance is live or leaving.
    failure announce(const instance_view &self);

private:
    json_rpc_answer call(const std::string &method, const Json::Value &parameters, std::chrono::milliseconds timeout);

    json_rpc_client m_client;
    std::chrono::milliseconds m_timeout;
};

} // namespace mustardrouter
