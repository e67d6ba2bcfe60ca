#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A location of instances and databases.
struct place {
    std::string name;
    std::string region;
    auto operator<=>(const place &) const = default;
};

/// One database of a group.
struct database {
    database_name name;
    std::string place;
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::uint32_t connectionCostMs = 0;
    auto operator<=>(const database &) const = default;
};

/// A set of databases that replicate the same data.
struct database_group {
    std::string name;
    std::vector<database> databases;
    std::uint32_t confirmReplicas = 1;
    auto operator<=>(const database_group &) const = default;
};

/// Named requirement on the freshness of reads.
struct named_read_rule {
    std::string name;
    read_rule rule = read_rule::session;
    duration maxAge{};
    auto operator<=>(const named_read_rule &) const = default;
};

/// Defaults for the sessions of a service; a request may override them.
struct session_policy {
    std::string name;
    std::string readRule;
    std::uint32_t weight = 1;
    duration deadline = std::chrono::seconds(5);
    duration idleInTransactionTimeout = std::chrono::seconds(10);
    auto operator<=>(const session_policy &) const = default;
};

/// A service that callers address by name: its database groups and its session policy.
struct service {
    std::string name;
    std::vector<std::string> groups;
    std::string sessionPolicy;
    /// Retries allowed per successful request.
    double retryBudget = 0.1;
    /// Callers that may use the service; empty allows all.
    std::vector<std::string> callers;
    auto operator<=>(const service &) const = default;
};

/// All configuration objects of one revision.
struct configuration_snapshot {
    revision_number revision;
    std::map<std::string, place> places;
    std::map<std::string, service> services;
    std::map<std::string, database_group> groups;
    std::map<std::string, named_read_rule> readRules;
    std::map<std::string, session_policy> policies;
};

} // namespace mustardrouter
