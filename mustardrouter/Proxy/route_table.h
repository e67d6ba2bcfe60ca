#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Workspaces/workspace_table.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// How statements for one database name are served.
struct route {
    group_name group;
    read_rule rule = read_rule::latest;
    /// Maximum age of the data for the rules `age` and `session`.
    duration maxAge{};
    /// Time limit of one statement.
    duration timeout{};
    /// Time within which a whole operation should complete.
    duration latencyTarget{};
    /// 0 is served first.
    std::uint32_t priority = 0;
    /// Serves also callers whose key is in no workspace.
    bool isPublic = false;

    bool operator==(const route &) const = default;
};

/// Configured limits of a database group.
struct group_limits {
    /// Limit of connections to each of its databases, over all callers.
    std::uint32_t connections = 1;
    /// Replicas that must have received a write before it is acknowledged.
    std::uint32_t syncReplicas = 0;

    bool operator==(const group_limits &) const = default;
};

/// One complete version of the configuration.
struct route_table {
    revision_number version;
    /// By the database name that clients connect with.
    std::unordered_map<std::string, route> routes;
    std::unordered_map<group_name, group_limits> groups;
    workspace_table workspaces;
    /// A transaction that is idle for longer may be ended.
    duration idleInTransactionTimeout = std::chrono::seconds(3);
};

} // namespace mustardrouter
