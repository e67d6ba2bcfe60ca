#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <optional>

namespace mustardrouter
{

/// Limit of the operations that the databases run for one workspace, summed over all instances: a token bucket. An operation is a
/// statement outside of a transaction, or a transaction.
struct workspace_limit {
    double operationsPerSecond = 0;
    /// Operations that may run at once after a pause.
    double burst = 0;

    bool operator==(const workspace_limit &) const = default;
};

/// One workspace of a configuration.
struct workspace {
    workspace_name name;
    /// No limit where the configuration gives none.
    std::optional<workspace_limit> limit;
    /// 0 is served first.
    std::uint32_t priority = 0;

    bool operator==(const workspace &) const = default;
};

} // namespace mustardrouter
