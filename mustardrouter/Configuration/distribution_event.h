#pragma once

#include "mustardrouter/Configuration/configuration_delta.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"

#include <memory>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// After a change of the instances: whether this one is a relay, and which sources it follows.
struct sources_chosen {
    bool relay = false;
    std::vector<instance_name> sources;
};

/// A snapshot was read from the platform.
struct configuration_read {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// A peer sent changes, or an empty delta that states its revision.
struct delta_received {
    instance_name from;
    configuration_delta delta;
};

/// A peer requested changes, and thereby follows this instance; `have` is its revision.
struct changes_requested {
    instance_name from;
    revision_number have;
};

/// The connection to a peer was lost.
struct peer_connection_lost {
    instance_name name;
};

/// Periodic timer tick.
struct distribution_ticked {
};

/// Inputs of the distribution.
using distribution_event =
    std::variant<sources_chosen, configuration_read, delta_received, changes_requested, peer_connection_lost, distribution_ticked>;

} // namespace mustardrouter
