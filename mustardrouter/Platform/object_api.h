#pragma once

#include "mustardrouter/Platform/platform_client.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Calls of the platform's object API that the configuration store uses. Tests replace them with a
/// fake.
struct object_api {
    std::function<platform_answer<platform_object>(const std::string &key)> get;
    std::function<platform_answer<std::uint64_t>(const platform_object &object)> put;
    std::function<platform_answer<std::uint64_t>(const platform_object &object)> remove;
    std::function<platform_answer<std::vector<platform_object>>(const std::string &prefix)> list;
};

/// Makes the calls through a client, which must outlive the returned object.
object_api objectApiOf(platform_client &platform);

} // namespace mustardrouter
