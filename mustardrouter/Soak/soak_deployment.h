#pragma once

#include "mustardrouter/PlatformStandIn/standin_database.h"
#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"
#include "mustardrouter/Soak/soak_history.h"
#include "mustardrouter/Soak/soak_route.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One version of the configuration that was published.
struct published_version {
    std::uint64_t version = 0;
    time_point at{};
    /// The route that came with it, and the one that went.
    std::string addedRoute;
    std::string removedRoute;
};

/// A database of the soak that leaves: from when on the store says so.
struct leaving_database {
    database_name name;
    time_point since{};
};

/// The databases and the platform of a soak: groups, sockets, entries in the store, versions of the configuration.
class soak_deployment
{
public:
    using clock = std::function<time_point()>;
    /// The address at which an instance reaches a database.
    using address_map = std::function<std::string(std::size_t instance, const std::string &address)>;

    soak_deployment(asio::io_context &context, soak_history &history, clock now, address_map addressFor, std::uint64_t seed);

    /// Makes groups of three databases, and the first configuration; false when no port was free.
    bool start(std::size_t groupCount, std::size_t instanceCount);

    standin_store &store();
    std::vector<std::unique_ptr<standin_group>> &groups();
    const std::vector<soak_route> &routes() const;
    const std::vector<published_version> &versions() const;
    standin_database &databaseOf(const database_name &name);
    /// Databases that leave or have left.
    const std::vector<leaving_database> &leaving() const;

    void publishConfiguration();
    /// The database's process ends, its log is kept; and starts again.
    void crash(standin_group &group, const database_name &name);
    void restart(standin_group &group, const database_name &name);
    void makeUnresponsive(standin_group &group, const database_name &name);
    void makeResponsive(standin_group &group, const database_name &name);
    /// Announces that the database leaves; another takes its place, and it ends when its time is over.
    void leave(standin_group &group, const database_name &name);
    /// The store was away and has lost the databases' entries; they come back within two seconds.
    void dropEntries();

private:
    void tick();
    void publishEntries();
    void addDatabase(standin_group &group, const std::string &name, const std::string &dataCentre, bool primary);
    bool promote(const standin_order &order);

    asio::io_context &m_context;
    soak_history &m_history;
    clock m_now;
    std::mt19937_64 m_random;
    standin_store m_store;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<standin_group>> m_groups;
    std::map<database_name, std::unique_ptr<standin_database>> m_databases;
    std::map<database_name, time_point> m_unresponsiveSince;
    std::map<database_name, time_point> m_publishAllowedAt;
    std::vector<leaving_database> m_leaving;
    std::vector<soak_route> m_routes;
    std::vector<published_version> m_versions;
    std::uint64_t m_nextDatabase = 1;
    std::uint64_t m_ticks = 0;
    bool m_failed = false;
};

} // namespace mustardrouter
