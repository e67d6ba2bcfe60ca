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

/// Asks a peer for what is new, and to be told of what comes.
struct request_changes {
    instance_name to;
    revision_number have;
};

/// Sends changes to a follower.
struct send_changes {
    instance_name to;
    configuration_delta delta;
};

/// Reads the platform once.
struct poll_platform {
};

/// Begins or ends to watch the platform.
struct watch_platform {
    bool on = false;
};

/// What is to be done for the configuration.
using distribution_action = std::variant<adopt_configuration, request_changes, send_changes, poll_platform, watch_platform>;
using distribution_actions = std::vector<distribution_action>;

} // namespace mustardrouter
