#pragma once

#include "mustardrouter/Instance/instance.h"
#include "mustardrouter/Load/deployment.h"
#include "mustardrouter/Platform/configuration_store.h"
#include "mustardrouter/StandIn/database_standin.h"
#include "mustardrouter/StandIn/platform_standin.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A whole deployment in this process, on loopback: stand-ins of the platform and the databases, and instances.
class testbed
{
public:
    testbed(deployment settings, std::size_t instances);
    ~testbed();
    testbed(const testbed &) = delete;
    testbed &operator=(const testbed &) = delete;

    /// Starts all parts and publishes the configuration. Fails with failure::addressUnavailable or failure::platformUnavailable.
    result_of<void> start();
    /// Waits until every group is served; false if that takes longer than `timeout`.
    bool waitUntilServing(std::chrono::milliseconds timeout) const;
    void stop();

    const deployment &deploymentSettings() const;
    platform_standin &platform();
    std::vector<std::unique_ptr<instance>> &instances();
    /// Addresses at which the running instances accept callers.
    std::vector<std::string> entryAddresses() const;
    /// Publishes configuration changes as an operator does.
    publication_result publish(const change_set &changes);
    result_of<void> addInstance();

    /// The stand-in of a group's current primary, or null.
    database_standin *primaryOf(const std::string &group);
    /// The instance that currently serves a group, or null.
    instance *ownerOf(const std::string &group);
    /// The stand-in of this name, or null.
    database_standin *findDatabase(const std::string &name);
    std::vector<database_standin *> databasesOf(const std::string &group);

private:
    result_of<void> publishConfiguration();

    deployment m_deploymentSettings;
    std::size_t m_instanceCount;
    std::size_t m_instancesCreated = 0;
    platform_standin m_platform;
    std::vector<std::unique_ptr<database_standin>> m_databases;
    std::vector<std::unique_ptr<instance>> m_instances;
};

/// The configuration objects of a deployment; `databases` holds `databasesPerGroup` databases for each group, ordered by group.
change_set configurationOf(const deployment &settings, const std::vector<database> &databases);

} // namespace mustardrouter
