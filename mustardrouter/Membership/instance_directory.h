#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What is known of one instance.
struct instance_view {
    instance_name name;
    std::string address;
    std::string place;
    /// Start of the instance's life in Unix microseconds; a later life at one address replaces an earlier.
    std::uint64_t incarnation = 0;
    /// Once true, stays true for this incarnation.
    bool leaving = false;
    bool operator==(const instance_view &) const = default;
};

/// The newest life seen at an address.
struct address_incarnation {
    instance_name name;
    std::uint64_t incarnation = 0;
};

/// An instance, and how it is known.
struct known_instance {
    instance_view view;
    /// When a message of its own came last; the epoch when none has come.
    time_point lastMessageAt{};
    /// Since when it cannot be reached from here, and has not been heard.
    std::optional<time_point> unreachableSince{};
    /// Whether the last list named it.
    bool listed = false;
};

/// Patience with instances.
struct directory_settings {
    /// An instance that is not listed is kept so long after its last message: lists lag.
    duration unlistedValidFor = std::chrono::seconds(10);
    /// An instance that is listed, but cannot be reached from here, is not chosen for so long. What
    /// cannot be reached from here may well serve others.
    duration unreachableHoldDown = std::chrono::seconds(10);
    /// An instance that cannot be reached for so long is dropped, whatever an old list says.
    duration unreachableTimeout = std::chrono::seconds(60);
};

/// Instances as known from the platform's lagging list, joined with what they say themselves and
/// with the state of the links to them.
struct instance_directory {
    directory_settings settings{};
    std::map<instance_name, known_instance> instances;
    /// Newest life seen at each address.
    std::map<std::string, address_incarnation> newestByAddress;
};

/// Joins in what an instance says of itself; true when the live instances changed.
bool mergeHeard(instance_directory &directory, const instance_view &view, time_point now);

/// Joins a list in, of the platform or of a relay; true when the live instances changed.
bool mergeList(instance_directory &directory, const std::vector<instance_view> &list, time_point now);

/// A link to the instance broke or could not be made; true when the live instances changed.
bool markUnreachable(instance_directory &directory, const instance_name &name, time_point now);

/// Drops those that have been missing for long; true when the live instances changed.
bool expireInstances(instance_directory &directory, time_point now);

/// Instances that take new work and can be reached as far as known, in the order of their names.
std::vector<instance_view> liveInstances(const instance_directory &directory, time_point now);

/// All instances, leaving ones included, as passed on to followers.
std::vector<instance_view> allInstances(const instance_directory &directory);

} // namespace mustardrouter
