#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What is known of one instance.
struct instance_view {
    instance_name name;
    std::string address;
    std::string place;
    /// Start of the instance's life in Unix milliseconds; a later life at one address replaces an earlier.
    std::uint64_t incarnation = 0;
    /// Once true, stays true for this incarnation.
    bool leaving = false;
};

/// One life of the instance at an address.
struct seen_life {
    instance_name name;
    std::uint64_t incarnation = 0;
};

/// Instances as known from the platform's lagging list, joined with what they say themselves.
struct instance_directory {
    std::map<instance_name, instance_view> instances;
    /// Newest life seen at each address.
    std::map<std::string, seen_life> newestAt;
};

/// Joins one view in; true when the set of live instances changed.
bool mergeInstance(instance_directory &directory, const instance_view &view);

/// Joins the platform's list in. Instances that it no longer names are dropped.
bool mergeList(instance_directory &directory, const std::vector<instance_view> &list);

/// Instances that take new work, in the order of their names.
std::vector<instance_view> liveInstances(const instance_directory &directory);

} // namespace mustardrouter
