#pragma once

#include "mustardrouter/Configuration/configuration_delta.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"

#include <memory>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// The instances changed: whether this one relays, and whom it follows.
struct sources_chosen {
    bool relay = false;
    std::vector<instance_name> sources;
};

/// The platform gave a snapshot.
struct configuration_read {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// A peer sent changes, or says with an empty delta which revision it has.
struct delta_received {
    instance_name from;
    configuration_delta delta;
};

/// A peer follows this instance and has this revision.
struct changes_requested {
    instance_name from;
    revision_number have;
};

/// The link to a peer broke.
struct source_lost {
    instance_name name;
};

/// Time has passed.
struct distribution_ticked {
};

/// What happens to an instance's copy of the configuration.
using distribution_event =
    std::variant<sources_chosen, configuration_read, delta_received, changes_requested, source_lost, distribution_ticked>;

} // namespace mustardrouter
