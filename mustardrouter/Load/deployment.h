#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Schema/objects.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A service beside the deployment's own, over the same groups, for one class of work.
struct class_service {
    std::string name;
    std::uint32_t weight = 1;
};

/// Sizes of one user's deployment, as the users give them.
struct deployment {
    std::string name;
    std::string service;
    std::vector<std::string> places;
    std::string region;
    std::size_t groups = 3;
    std::size_t databasesPerGroup = 3;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::chrono::milliseconds connectionCost{0};
    /// One-way delay between data centres.
    std::chrono::microseconds betweenDataCentres{0};
    /// One-way delay between callers and entries.
    std::chrono::microseconds toCallers{0};
    /// Time that a database takes for a statement.
    std::chrono::microseconds serviceTime{1000};
    /// From the primary's append to the replica's receipt, and on to the replica's reads.
    std::chrono::microseconds replicationDelay{2000};
    std::chrono::microseconds applyLag{20000};
    std::vector<class_service> classServices;
    /// Tables of the workload.
    std::vector<std::string> tables;
};

/// The deployment called "kovacik" or "granite-notch".
std::optional<deployment> findDeployment(const std::string &name);

/// Settings of the stand-in for one database; the address takes a free port.
objects::database_settings databaseSettings(const deployment &of, std::size_t group, std::size_t index);

/// Name of a group.
std::string groupNameOf(const deployment &of, std::size_t group);

} // namespace mustardrouter
