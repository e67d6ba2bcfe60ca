#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// How statements for one database name are served.
struct route {
    group_name group;
    read_rule rule = read_rule::latest;
    /// Greatest age of the data for the rules `age` and `session`.
    duration maxAge{};
    /// Limit of one statement.
    duration timeout{};
    /// Within which a whole operation should be answered.
    duration latencyTarget{};
    /// 0 is served first.
    std::uint32_t priority = 0;

    bool operator==(const route &) const = default;
};

/// What the configuration says of a database group.
struct group_limits {
    /// Connections to each of its databases, of all callers together.
    std::uint32_t connections = 1;
    /// Replicas that must have received a write before it is acknowledged.
    std::uint32_t syncReplicas = 0;

    bool operator==(const group_limits &) const = default;
};

/// One version of the configuration, whole.
struct route_table {
    revision_number version;
    /// By the name that clients give at their start.
    std::unordered_map<std::string, route> routes;
    std::unordered_map<group_name, group_limits> groups;
    /// A transaction that rests longer may be ended.
    duration idleInTransactionTimeout = std::chrono::seconds(3);
};

} // namespace mustardrouter
