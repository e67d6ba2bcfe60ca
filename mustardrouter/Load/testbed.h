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

/// A whole deployment in this process, on loopback: platform, databases and instances.
class testbed
{
public:
    testbed(deployment sizes, std::size_t instances);
    ~testbed();
    testbed(const testbed &) = delete;
    testbed &operator=(const testbed &) = delete;

    /// Starts everything and publishes the configuration; failure::addressUnavailable or failure::platformUnavailable.
    result_of<void> start();
    /// Waits until every group is served; false when `timeout` is over first.
    bool waitUntilServing(std::chrono::milliseconds timeout) const;
    void stop();

    const deployment &sizes() const;
    platform_standin &platform();
    std::vector<std::unique_ptr<instance>> &instances();
    /// Addresses at which callers find the running instances.
    std::vector<std::string> entries() const;
    /// Publishes changes as an operator does.
    publication_result publish(const change_set &changes);
    /// Starts another instance.
    result_of<void> addInstance();

    /// The stand-in of a group's present primary, or nothing.
    database_standin *primaryOf(const std::string &group);
    /// The instance that owns a group, or nothing.
    instance *ownerOf(const std::string &group);
    database_standin *findDatabase(const std::string &name);
    std::vector<database_standin *> databasesOf(const std::string &group);

private:
    result_of<void> publishConfiguration();

    deployment m_sizes;
    std::size_t m_instanceCount;
    std::size_t m_instancesCreated = 0;
    platform_standin m_platform;
    std::vector<std::unique_ptr<database_standin>> m_databases;
    std::vector<std::unique_ptr<instance>> m_instances;
};

/// The objects of a deployment, with the addresses that its stand-ins took.
change_set configurationOf(const deployment &of, const std::vector<database> &databases);

} // namespace mustardrouter
