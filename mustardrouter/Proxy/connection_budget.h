#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Inputs of the decisions about one instance's connections to one database. A database's connections
/// are fewer than the instances that want one: each takes what its own load needs at the moment, and
/// gives it back the sooner, the more of all connections are taken.
struct connection_budget {
    /// Connections that this instance has, open or being opened.
    std::uint32_t connections = 0;
    std::uint32_t opening = 0;
    /// Most connections of one instance.
    std::uint32_t maxConnections = 1;
    /// Connections of all instances, as the database last said, and its limit.
    std::uint32_t connectionsInUse = 0;
    std::uint32_t limit = 1;
    /// The database refused work for want of room a moment ago: a connection adds nothing but its own cost.
    bool recentlyOverloaded = false;
};

/// Whether one more connection may be opened for a statement that waits.
bool mayOpenConnection(const connection_budget &budget);

/// How long a connection may stay idle before it is closed.
duration idleTimeoutOf(const connection_budget &budget);

} // namespace mustardrouter
