#include "mustardrouter/Soak/soak_deployment.h"

#include "mustardrouter/PlatformStandIn/delayed_call.h"
#include "mustardrouter/PlatformStandIn/standin_documents.h"
#include "platform/stored_objects.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

/// Interval of replication; store entries are published once in `ticksPerPublication` ticks.
constexpr duration tickInterval = 2ms;
constexpr std::uint64_t ticksPerPublication = 40;
/// The store removes an entry when its database has missed three heartbeats of 1,200 ms.
constexpr duration entryTtl = 3600ms;
/// Time from a promotion order to its effect.
constexpr duration promotionDelay = 300ms;
/// A leaving database serves for 7 s; its process ends a little later.
constexpr duration leavingPeriod = 8000ms;
/// Entries that were removed are published again within this time.
constexpr std::uint64_t republishSpreadMicros = 1'800'000;
constexpr std::size_t databasesPerGroup = 3;
/// Connections beyond one for each instance where they are scarce.
constexpr std::uint32_t scarceReserve = 2;
/// Routes that make a configuration of 0.2 MB.
constexpr std::size_t furtherRoutes = 1400;
constexpr double bytesPerMegabit = 1e6 / 8;
constexpr std::uint64_t firstVersion = 10;
/// Longest delay of what the store shows where it may be old, and most entries of lost instances.
constexpr std::uint64_t maxStalenessMillis = 6000;
constexpr std::uint64_t maxLostInstances = 13;

const char *const dataCentres[] = {"dc-a", "dc-b", "dc-c"};

} // namespace

soak_variant variantOf(std::uint64_t seed)
{
    constexpr std::uint64_t kinds = 5;
    const bool both = seed % (2 * kinds) == 2 * kinds - 1;
    constexpr std::uint64_t passingOn = 7;
    constexpr std::uint64_t firstLarge = 30'000;
    const bool plannedWorkOnly = playsPlannedWorkOnly(seed);
    const bool isLarge = seed >= firstLarge && !plannedWorkOnly && !playsOldEntries(seed) && !playsRouteMoves(seed);
    return {seed % kinds == kinds - 1,
            seed % kinds == 0 || both,
            isLarge || seed % passingOn == 3,
            playsWorkspaces(seed),
            isLarge,
            plannedWorkOnly,
            playsOldEntries(seed),
            playsRouteMoves(seed)};
}

soak_deployment::soak_deployment(
    asio::io_context &context, soak_history &history, now_function now, address_map addressFor, std::uint64_t seed, soak_variant variant)
    : m_context(context)
    , m_history(history)
    , m_now(std::move(now))
    , m_random(seed)
    , m_store(context,
              {std::move(addressFor),
               [this](const standin_order &order) {
                   return promote(order);
               }},
              seed)
    , m_timer(context)
    , m_seed(seed)
    , m_variant(variant)
{
    if (m_variant.configurationIsLarge) {
        m_store.faults().bytesPerSecond = static_cast<std::size_t>(narrowLinkMegabits * bytesPerMegabit);
    }
    m_store.setChecksFences(!variant.replacedPrimariesContinue);
    if (m_variant.entriesAreOld) {
        m_store.faults().staleness = std::chrono::milliseconds(m_random() % maxStalenessMillis);
        addLostInstances();
    }
}

void soak_deployment::addLostInstances()
{
    const std::uint64_t count = m_random() % maxLostInstances;
    for (std::uint64_t index = 0; index < count; ++index) {
        listed_instance lost;
        lost.name = instance_name("lost-" + std::to_string(index));
        // Nobody listens there.
        lost.relayAddress = "127.0.0.1:" + std::to_string(1 + index);
        lost.dataCentre = dataCentres[index % std::size(dataCentres)];
        const std::optional<Json::Value> entry = platform::decodeContent(platform::encodeInstance(lost));
        m_store.objects().put(platform::instanceKind, lost.name.value(), (*entry)["spec"]);
    }
}

bool soak_deployment::start(std::size_t groupCount, std::size_t instanceCount)
{
    constexpr std::uint32_t minSlots = 3;
    constexpr std::uint64_t slotSpread = 3;
    constexpr std::size_t groupsToMoveBetween = 2;
    const std::size_t count = m_variant.routesMove ? groupsToMoveBetween : groupCount;
    for (std::size_t index = 0; index < count; ++index) {
        auto group = std::make_unique<standin_group>();
        group->name = group_name("group" + std::to_string(index + 1));
        group->slots = minSlots + static_cast<std::uint32_t>(m_random() % slotSpread);
        // From fewer connections than all instances together would open to more than enough.
        group->connections = static_cast<std::uint32_t>(instanceCount * (2 + m_random() % 4) + 4);
        group->syncReplicas = static_cast<std::uint32_t>(m_random() % 2);
        group->replacedPrimariesContinue = m_variant.replacedPrimariesContinue;
        if (m_variant.connectionsAreScarce) {
            group->connections = static_cast<std::uint32_t>(instanceCount) + scarceReserve;
        }
        const std::string suffix = "-" + std::to_string(index + 1);
        const duration timeout = m_variant.plannedWorkOnly ? longRouteTimeout : usualRouteTimeout;
        m_routes.push_back({"latest" + suffix, {group->name, read_rule::latest, 0ms, timeout, 600ms, 1}});
        m_routes.push_back({"session" + suffix, {group->name, read_rule::session, 2500ms, timeout, 600ms, 2}});
        m_routes.push_back({"age" + suffix, {group->name, read_rule::age, 1500ms, timeout, 600ms, 2}, m_variant.hasWorkspaces});
        m_groups.push_back(std::move(group));
        for (std::size_t place = 0; place < databasesPerGroup; ++place) {
            addDatabase(*m_groups.back(), "db" + std::to_string(m_nextDatabase++), dataCentres[place], place == 0);
        }
    }
    if (m_variant.routesMove) {
        // Clients choose among the routes at random: a third of them moves.
        for (const char *name : {"moving-1", "moving-2", "moving-3"}) {
            m_routes.push_back({name, {m_groups.front()->name, read_rule::session, 2500ms, usualRouteTimeout, 600ms, 2}, false, true});
        }
    }
    publishConfiguration();
    tick();
    return !m_failed;
}

soak_workspaces *soak_deployment::workspaces()
{
    return m_variant.hasWorkspaces ? &m_workspaces : nullptr;
}

const soak_variant &soak_deployment::variant() const
{
    return m_variant;
}

standin_store &soak_deployment::store()
{
    return m_store;
}

std::vector<std::unique_ptr<standin_group>> &soak_deployment::groups()
{
    return m_groups;
}

const std::vector<soak_route> &soak_deployment::routes() const
{
    return m_routes;
}

const std::vector<published_version> &soak_deployment::versions() const
{
    return m_versions;
}

const std::vector<leaving_database> &soak_deployment::leaving() const
{
    return m_leaving;
}

platform_standin_database &soak_deployment::databaseOf(const database_name &name)
{
    return *m_databases.at(name);
}

void soak_deployment::addDatabase(standin_group &group, const std::string &name, const std::string &dataCentre, bool primary)
{
    standin_member member;
    member.name = database_name(name);
    member.dataCentre = dataCentre;
    member.primary = primary;
    database_observer observer;
    observer.onReceived = [this](const std::string &id) {
        m_history.onReceived(id);
        return extraWorkOf(id);
    };
    observer.onRun = [this](const statement_run &run) {
        const auto left = std::ranges::find(m_leaving, run.database, &leaving_database::name);
        constexpr duration drainTime = 7000ms;
        if (left != m_leaving.end() && !run.inTransaction && m_now() - left->since > drainTime) {
            m_history.onRunAfterDrainTime(run, left->since, m_now());
        }
        if (const sent_statement *sent = m_variant.hasWorkspaces ? m_history.findSent(run.id) : nullptr) {
            for (const std::string &violation : m_workspaces.onRun(run, *sent, m_now())) {
                m_history.reportViolation(violation);
            }
        }
        return m_history.onRun(run, m_now());
    };
    observer.onCommit = [this](const group_name &of, const std::string &id, std::size_t index) {
        m_history.onCommit(of, id, index);
    };
    observer.onCommitOfReplaced = [this](const group_name &of, const std::string &id, std::size_t sharedLength) {
        m_history.onCommitOfReplaced(of, id, sharedLength);
    };
    observer.onProtocolViolation = [this](const std::string &what) {
        m_history.reportViolation("UNASKED: " + what);
    };
    auto database = std::make_unique<platform_standin_database>(m_context, group, member.name, std::move(observer), m_now, m_random());
    m_failed = !database->listen() || m_failed;
    member.address = database->address();
    m_databases[member.name] = std::move(database);
    group.members[member.name] = std::move(member);
}

duration soak_deployment::extraWorkOf(const std::string &id) const
{
    constexpr std::uint64_t statementsPerLongOne = 250;
    constexpr std::uint64_t minLongMicros = 450'000;
    constexpr std::uint64_t longSpreadMicros = 1'550'000;
    std::mt19937_64 random(m_seed ^ std::hash<std::string>()(id));
    const bool isLong = m_variant.plannedWorkOnly && random() % statementsPerLongOne == 0;
    return isLong ? duration(static_cast<std::int64_t>(minLongMicros + random() % longSpreadMicros)) : duration{};
}

bool soak_deployment::promote(const standin_order &order)
{
    m_history.onOrder(order.group, order.fence, order.holder, order.successor);
    const auto group = std::ranges::find_if(m_groups, [&](const auto &one) {
        return one->name.value() == order.group;
    });
    if (group == m_groups.end()) {
        return false;
    }
    const auto member = (*group)->members.find(database_name(order.successor));
    if (member == (*group)->members.end() || !member->second.running || member->second.unresponsive) {
        return false;
    }
    callLater(m_context, promotionDelay, [this, &chosen = **group, name = database_name(order.successor)] {
        if (const std::optional<standin_promotion> result = promoteMember(chosen, name, m_now())) {
            m_history.onPromoted(chosen.name, *result, chosen.syncReplicas);
            publishEntries();
        }
    });
    return true;
}

void soak_deployment::tick()
{
    const time_point now = m_now();
    for (const auto &group : m_groups) {
        replicate(*group, now);
    }
    if (m_ticks++ % ticksPerPublication == 0) {
        publishEntries();
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            tick();
        }
    });
}

void soak_deployment::publishEntries()
{
    if (m_store.faults().down != store_failure::none) {
        return;
    }
    const time_point now = m_now();
    for (const auto &group : m_groups) {
        for (auto &[name, member] : group->members) {
            if (!member.running || member.unresponsive) {
                const time_point since = m_unresponsiveSince.try_emplace(name, now).first->second;
                const bool left = member.leaving && !member.running;
                if (left || now - since > entryTtl) {
                    m_store.objects().remove("servers", name.value());
                }
                continue;
            }
            m_unresponsiveSince.erase(name);
            if (now < m_publishAllowedAt[name]) {
                continue;
            }
            publishEntry(*group, member);
        }
    }
    m_store.keepCopy(now);
    m_store.notifyWatches();
}

void soak_deployment::publishEntry(const standin_group &group, standin_member &member)
{
    Json::Value &published = m_publishedEntries[member.name];
    if (published != entryOf(group, member)) {
        member.sequence += 1;
        published = entryOf(group, member);
    }
    m_store.objects().put("servers", member.name.value(), published);
}

void soak_deployment::publishConfiguration()
{
    constexpr std::uint64_t versionSpread = 5;
    published_version next;
    next.version = m_versions.empty() ? firstVersion : m_versions.back().version + 1 + m_random() % versionSpread;
    next.at = m_now();
    next.addedRoute = "extra-" + std::to_string(next.version);
    next.removedRoute = m_versions.empty() ? std::string() : m_versions.back().addedRoute;
    m_versions.push_back(next);
    writeConfiguration();
}

void soak_deployment::writeConfiguration()
{
    const published_version &newest = m_versions.back();
    std::map<std::string, route> routes{{newest.addedRoute, m_routes.front().sessionRoute}};
    std::size_t moved = newest.version;
    for (const soak_route &one : m_routes) {
        routes[one.name] = one.sessionRoute;
        if (one.moves) {
            routes[one.name].group = m_groups[moved++ % m_groups.size()]->name;
        }
    }
    for (std::size_t index = 0; m_variant.configurationIsLarge && index < furtherRoutes; ++index) {
        routes["further-" + std::to_string(index)] = m_routes.front().sessionRoute;
    }
    Json::Value configuration = configurationOf(newest.version, routes, m_groups);
    if (m_variant.hasWorkspaces) {
        std::set<std::string> publicRoutes;
        for (const soak_route &one : m_routes) {
            if (one.isPublic) {
                publicRoutes.insert(one.name);
            }
        }
        addWorkspaces(configuration, m_workspaces.current(), publicRoutes);
        m_workspaces.onPublished(m_now());
    }
    m_store.objects().put("config", "main", configuration);
    m_store.notifyWatches();
}

void soak_deployment::crash(standin_group &group, const database_name &name)
{
    group.members.at(name).running = false;
    databaseOf(name).crash();
}

void soak_deployment::restart(standin_group &group, const database_name &name)
{
    standin_member &member = group.members.at(name);
    if (member.running || member.leaving) {
        return;
    }
    member.running = true;
    member.primary = member.primary && !member.replaced;
    member.replaced = false;
    member.incarnation += 1;
    member.sequence = 1;
    if (!databaseOf(name).listen()) {
        m_history.reportViolation("the soak itself: " + name.value() + " can't listen on its port again");
    }
}

void soak_deployment::makeUnresponsive(standin_group &group, const database_name &name)
{
    group.members.at(name).unresponsive = true;
}

void soak_deployment::makeResponsive(standin_group &group, const database_name &name)
{
    group.members.at(name).unresponsive = false;
    databaseOf(name).resumeProcessing();
}

void soak_deployment::leave(standin_group &group, const database_name &name)
{
    standin_member &member = group.members.at(name);
    if (member.leaving || !member.running || m_store.faults().down != store_failure::none) {
        return;
    }
    const database_name fresh("db" + std::to_string(m_nextDatabase++));
    addDatabase(group, fresh.value(), member.dataCentre, false);
    member.leaving = true;
    m_leaving.push_back({name, m_now()});
    publishEntries();
    callLater(m_context, leavingPeriod, [this, &group, name] {
        crash(group, name);
        publishEntries();
    });
}

void soak_deployment::dropEntries()
{
    for (const auto &group : m_groups) {
        for (const auto &[name, member] : group->members) {
            m_store.objects().remove("servers", name.value());
            m_publishAllowedAt[name] = m_now() + duration(static_cast<std::int64_t>(m_random() % republishSpreadMicros));
        }
    }
}

void soak_deployment::returnStoreFromCopy(duration age)
{
    m_store.returnFromCopy(age, m_now());
    for (const auto &group : m_groups) {
        for (const auto &[name, member] : group->members) {
            m_publishAllowedAt[name] = m_now() + duration(static_cast<std::int64_t>(m_random() % republishSpreadMicros));
        }
    }
    callLater(m_context, duration(static_cast<std::int64_t>(m_random() % republishSpreadMicros)), [this] {
        writeConfiguration();
    });
}

} // namespace mustardrouter
