#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Membership/instance_directory.h"

#include <cstddef>
#include <vector>

namespace mustardrouter
{

/// Part of an instance in the distribution of the configuration and of the instance list.
struct relay_choice {
    bool relay = false;
    /// Instances to follow.
    std::vector<instance_name> sources;
    bool operator==(const relay_choice &) const = default;
};

/// Relays of a place with so many instances: their number, and with it the load on the platform,
/// grows with the square root of the fleet.
std::size_t relayCount(std::size_t instances);

/// Chooses by rendezvous hash, so that all who know the same instances choose alike. A follower has
/// two relays of its place; the first two relays of each place follow those of all other places; the
/// further relays follow the first two of their own.
relay_choice chooseRelays(const std::vector<instance_view> &live, const instance_view &self);

} // namespace mustardrouter
