#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Membership/instance_directory.h"

#include <cstddef>
#include <vector>

namespace mustardrouter
{

/// Role of an instance in the distribution of the configuration and of the instance list.
struct relay_choice {
    bool relay = false;
    /// Instances to follow.
    std::vector<instance_name> sources;
    bool operator==(const relay_choice &) const = default;
};

/// Number of relays of a place with `instances` instances. It grows with the square root of
/// `instances`, and with it the load on the platform, from which the relays read.
std::size_t relayCount(std::size_t instances);

/// Selects relays by rendezvous hashing, so that instances with the same list make the same choice.
/// An instance that is no relay follows two relays of its place. The two top-ranked relays of a place follow those of
/// all places; its other relays follow the two top-ranked ones of the same place.
relay_choice chooseRelays(const std::vector<instance_view> &live, const instance_view &self);

} // namespace mustardrouter
