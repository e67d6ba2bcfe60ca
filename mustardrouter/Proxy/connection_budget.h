#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Inputs of the decisions about one instance's connections to one database. A database accepts fewer
/// connections than there are instances that want one, so an instance opens only what its load needs,
/// and closes idle connections sooner as more of the limit is in use.
struct connection_budget {
    /// Connections of this instance, and how many of them are still opening.
    std::uint32_t ownConnections = 0;
    std::uint32_t opening = 0;
    /// Limit of connections of this instance.
    std::uint32_t ownLimit = 1;
    /// Connections of all instances as the database last reported, and its limit.
    std::uint32_t totalConnections = 0;
    std::uint32_t totalLimit = 1;
    /// The database recently refused work for lack of capacity: another connection would only add its own cost.
    bool recentlyOverloaded = false;
    /// Instances were chosen to hold the connections for all workspaces, this one among them.
    bool holdsForWorkspaces = false;
};

/// Whether one more connection may be opened for a waiting statement.
bool mayOpenConnection(const connection_budget &budget);

/// How long a connection may stay idle before it is closed.
duration idleTimeoutOf(const connection_budget &budget);

} // namespace mustardrouter
