#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Ownership/ownership_event.h"

#include <memory>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Result of a platform call on a group's ownership record.
struct record_event {
    group_name group;
    ownership_event event;
    /// Whether the call was a read.
    bool fromRead = false;
};

/// The platform's list of instances.
struct instances_listed {
    std::vector<instance_view> instances;
};

/// A newer configuration was loaded.
struct configuration_loaded {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// Event from the platform and discovery threads to the decision thread.
using platform_event = std::variant<record_event, instances_listed, configuration_loaded>;

} // namespace mustardrouter
