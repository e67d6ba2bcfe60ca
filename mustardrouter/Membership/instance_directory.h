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

/// Data that an instance announces about itself.
struct instance_view {
    instance_name name;
    std::string address;
    std::string place;
    /// Start time of the process in Unix microseconds; a later incarnation at an address replaces an earlier one.
    std::uint64_t incarnation = 0;
    /// Never reset within an incarnation.
    bool leaving = false;
    bool operator==(const instance_view &) const = default;
};

/// The newest incarnation seen at an address.
struct address_incarnation {
    instance_name name;
    std::uint64_t incarnation = 0;
};

/// An instance and the state of its detection.
struct known_instance {
    instance_view view;
    /// Time of the last message from the instance itself; the epoch when there was none.
    time_point lastMessageAt{};
    /// Time since which it has been unreachable from here, without a message from it.
    std::optional<time_point> unreachableSince{};
    /// Whether the last list contained it.
    bool listed = false;
};

/// Timeouts of the instance directory.
struct directory_settings {
    /// How long an unlisted instance is kept after its last message, because lists lag.
    duration unlistedValidFor = std::chrono::seconds(10);
    /// How long a listed instance is not selected after it became unreachable from here. It is not
    /// removed at once, since other instances may still reach it.
    duration unreachableHoldDown = std::chrono::seconds(10);
    /// After this time, an unreachable instance is removed even if an outdated list still contains it.
    duration unreachableTimeout = std::chrono::seconds(60);
};

/// Known instances, merged from the platform's lagging list, the messages of the instances
/// themselves and the state of the connections to them.
struct instance_directory {
    directory_settings settings{};
    std::map<instance_name, known_instance> instances;
    /// Newest incarnation by address.
    std::map<std::string, address_incarnation> newestByAddress;
};

/// Merges data that an instance sent about itself; true when the live instances changed.
bool mergeSelfReport(instance_directory &directory, const instance_view &view, time_point now);

/// Merges a list from the platform or a relay; true when the live instances changed.
bool mergeInstanceList(instance_directory &directory, const std::vector<instance_view> &list, time_point now);

/// Records that a connection to the instance failed or could not be opened; true when the live instances changed.
bool markUnreachable(instance_directory &directory, const instance_name &name, time_point now);

/// Removes instances that were unreachable for too long; true when the live instances changed.
bool expireInstances(instance_directory &directory, time_point now);

/// Instances that accept new work and are not known to be unreachable, sorted by name.
std::vector<instance_view> liveInstances(const instance_directory &directory, time_point now);

/// All instances, including leaving ones, as sent to followers.
std::vector<instance_view> allInstances(const instance_directory &directory);

} // namespace mustardrouter
