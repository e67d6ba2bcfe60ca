#pragma once

#include "mustardrouter/Configuration/configuration_delta.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"

#include <memory>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Puts a revision in force on this instance.
struct adopt_configuration {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// Requests newer changes from a peer and subscribes to later ones.
struct request_changes {
    instance_name to;
    revision_number have;
};

/// Sends changes to a follower, or in reply to a request.
struct send_changes {
    instance_name to;
    configuration_delta delta;
};

/// Reads the configuration from the platform once.
struct poll_platform {
};

/// Starts or stops watching the configuration on the platform.
struct watch_platform {
    bool on = false;
};

/// Actions that the distribution asks its caller to perform.
using distribution_action = std::variant<adopt_configuration, request_changes, send_changes, poll_platform, watch_platform>;
using distribution_actions = std::vector<distribution_action>;

} // namespace mustardrouter
