#pragma once

#include "mustardrouter/PlatformStandIn/platform_standin_database.h"
#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"
#include "mustardrouter/Soak/soak_history.h"
#include "mustardrouter/Soak/soak_route.h"
#include "mustardrouter/Soak/soak_workspaces.h"

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

/// A published version of the configuration.
struct published_version {
    std::uint64_t version = 0;
    time_point at{};
    /// The route that this version added, and the one that it removed.
    std::string addedRoute;
    std::string removedRoute;
};

/// A leaving database, and since when its store entry says so.
struct leaving_database {
    database_name name;
    time_point since{};
};

/// How the databases of a soak differ from the usual ones.
struct soak_variant {
    /// A replaced primary continues until it is told to step down or has reached the new one.
    bool replacedPrimariesContinue = false;
    /// Databases accept fewer connections than the instances would open.
    bool connectionsAreScarce = false;
    /// All instances are in one data centre, where most of them learn of the store's changes from others.
    bool changesArePassedOn = false;
    /// The configuration has workspaces; one route of each group is public.
    bool hasWorkspaces = false;
    /// The configuration has many more routes, and instances have narrow links to the store.
    bool configurationIsLarge = false;
    /// All work that disturbs instances is planned, and some statements take longer than an instance waits before it asks elsewhere.
    bool plannedWorkOnly = false;
    /// The store has entries of lost instances from the start, and answers from old data where it may.
    bool entriesAreOld = false;
    /// Some routes move between two groups.
    bool routesMove = false;
};

/// Link of the instances where the configuration is large.
constexpr double narrowLinkMegabits = 10;

/// Time limit of the routes' statements: the shortest of the users' deployments, and where some statements take long.
constexpr duration usualRouteTimeout = std::chrono::milliseconds(1000);
constexpr duration longRouteTimeout = std::chrono::milliseconds(3000);

/// The variant that a seed plays: two of five seeds play one of the first two, one of ten both.
/// A configuration that is large is played by seeds from 30000, planned work only by those from 40000.
soak_variant variantOf(std::uint64_t seed);

/// The databases and the platform of a soak: groups, database servers, store entries, versions of the configuration.
class soak_deployment
{
public:
    using now_function = std::function<time_point()>;
    /// Address at which an instance reaches the database at `address`.
    using address_map = std::function<std::string(std::size_t instance, const std::string &address)>;

    soak_deployment(asio::io_context &context,
                    soak_history &history,
                    now_function now,
                    address_map addressFor,
                    std::uint64_t seed,
                    soak_variant variant);

    /// The workspaces, or null if none are played. To be started before the deployment.
    soak_workspaces *workspaces();

    /// Creates groups of three databases and the first configuration; false if a port could not be opened.
    bool start(std::size_t groupCount, std::size_t instanceCount);

    const soak_variant &variant() const;
    standin_store &store();
    std::vector<std::unique_ptr<standin_group>> &groups();
    const std::vector<soak_route> &routes() const;
    const std::vector<published_version> &versions() const;
    platform_standin_database &databaseOf(const database_name &name);
    /// Databases that are leaving or have left.
    const std::vector<leaving_database> &leaving() const;

    void publishConfiguration();
    /// Ends the database's process, keeping its log; and starts it again.
    void crash(standin_group &group, const database_name &name);
    void restart(standin_group &group, const database_name &name);
    void makeUnresponsive(standin_group &group, const database_name &name);
    void makeResponsive(standin_group &group, const database_name &name);
    /// Announces that the database is leaving and adds a replacement; the database stops after its leaving period.
    void leave(standin_group &group, const database_name &name);
    /// Work of a client's statement at any database beyond the usual; zero for most.
    duration extraWorkOf(const std::string &id) const;
    /// Removes the store entries of all databases, as after a store outage; each is published again within 2 s.
    void dropEntries();
    /// Lets the store return from a copy of this age. The databases and the operator write again within 2 s.
    void returnStoreFromCopy(duration age);

private:
    void tick();
    /// Enters instances that will never answer.
    void addLostInstances();
    void publishEntries();
    void publishEntry(const standin_group &group, standin_member &member);
    /// Writes the newest version to the store.
    void writeConfiguration();
    void addDatabase(standin_group &group, const std::string &name, const std::string &dataCentre, bool primary);
    bool promote(const standin_order &order);

    asio::io_context &m_context;
    soak_history &m_history;
    now_function m_now;
    std::mt19937_64 m_random;
    standin_store m_store;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<standin_group>> m_groups;
    std::map<database_name, std::unique_ptr<platform_standin_database>> m_databases;
    std::map<database_name, time_point> m_unresponsiveSince;
    std::map<database_name, time_point> m_publishAllowedAt;
    std::map<database_name, Json::Value> m_publishedEntries;
    std::vector<leaving_database> m_leaving;
    std::vector<soak_route> m_routes;
    std::vector<published_version> m_versions;
    std::uint64_t m_seed;
    soak_variant m_variant;
    soak_workspaces m_workspaces;
    std::uint64_t m_nextDatabase = 1;
    std::uint64_t m_ticks = 0;
    bool m_failed = false;
};

} // namespace mustardrouter
