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

/// An additional service over the groups of the deployment, for one class of work.
struct class_service {
    std::string name;
    std::uint32_t weight = 1;
};

/// Size, delays and costs of one user's deployment.
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
    std::chrono::microseconds dataCentreDelay{0};
    /// One-way delay between callers and entries.
    std::chrono::microseconds callerDelay{0};
    /// Time that a database needs for a statement.
    std::chrono::microseconds serviceTime{1000};
    /// From the primary's append until the replica has received the log entry.
    std::chrono::microseconds replicationDelay{2000};
    /// From receipt until the replica's reads see the log entry.
    std::chrono::microseconds applyLag{20000};
    std::vector<class_service> classServices;
    /// Statements that create the tables of the workload.
    std::vector<std::string> tables;
};

/// The deployment called "kovacik" or "granite-notch"; nothing for any other name.
std::optional<deployment> findDeployment(const std::string &name);

/// Settings of the stand-in for one database, which listens on any free port.
objects::database_settings databaseSettings(const deployment &of, std::size_t group, std::size_t index);

std::string groupNameOf(const deployment &of, std::size_t group);

} // namespace mustardrouter
