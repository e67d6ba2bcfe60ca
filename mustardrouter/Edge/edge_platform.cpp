#include "mustardrouter/Edge/edge_instance.h"

#include "platform/store_client.h"

#include <utility>

/// The instance towards the platform: watches of the store, claims and promotion orders.
namespace mustardrouter
{

namespace
{

/// Changes of databases and of the configuration are batched over these delays. Both are small against the time within
/// which a change must be adopted (7 s for a leaving database, 3 s for a configuration).
constexpr duration databaseBatchDelay = std::chrono::milliseconds(900);
constexpr duration configurationBatchDelay = std::chrono::milliseconds(400);
/// Maximum backoff of the two watches while the store does not answer. The configuration watch retries often, and the
/// first to succeed makes the other retry at once: after a power failure nothing can be served before both have answered.
constexpr duration configurationMaxBackoff = std::chrono::milliseconds(400);
constexpr duration databaseMaxBackoff = std::chrono::milliseconds(1600);
/// Changes of the list of instances are batched over this delay: it decides only where statements are relayed to.
constexpr duration instanceBatchDelay = std::chrono::milliseconds(700);

/// The claim in the store's response to a request of the era `requested`; nothing when it could not be read, or when the store has
/// lost its history since.
std::optional<promotion_claim> claimOf(const platform::http_response &response, store_history &history, store_era requested)
{
    const std::optional<store_era> era = history.accept(response);
    const platform::request_outcome outcome = platform::outcomeOfStatus(response.status);
    if (era != requested) {
        return std::nullopt;
    }
    if (outcome == platform::request_outcome::notFound) {
        promotion_claim none;
        none.position.era = requested;
        return none;
    }
    const auto object = outcome == platform::request_outcome::done ? platform::decodeObject(response.body, *era) : std::nullopt;
    return object ? std::optional(platform::decodeClaim(*object)) : std::nullopt;
}

} // namespace

std::shared_ptr<platform::http_client> edge_instance::promotionClient(const group_name &group, const std::string &address)
{
    std::shared_ptr<platform::http_client> &client = m_promotionClients[group.value() + "@" + address];
    if (!client) {
        client = std::make_shared<platform::http_client>(m_context, address);
    }
    return client;
}

void edge_instance::performAction(read_claim &action)
{
    const group_name group = action.group;
    const store_era era = m_storeHistory.era();
    promotionClient(group, m_environment.storeAddress)
        ->call(platform::readClaimRequest(group, era), [this, group, era](const platform::http_response &response) {
            if (const std::optional<promotion_claim> claim = claimOf(response, m_storeHistory, era)) {
                onClaimRead(m_engine, group, *claim, now());
            } else {
                onClaimReadFailed(m_engine, group, now());
            }
            performActions();
        });
}

void edge_instance::performAction(verify_claim &action)
{
    // A client of its own: a call abandons the one in progress, which may be part of a promotion.
    const group_name group = action.group;
    const time_point requestedAt = now();
    const store_era era = m_storeHistory.era();
    std::shared_ptr<platform::http_client> &client = m_verificationClients[group];
    if (!client) {
        client = std::make_shared<platform::http_client>(m_context, m_environment.storeAddress);
    }
    client->call(platform::readClaimRequest(group, era), [this, group, era, requestedAt](const platform::http_response &response) {
        onClaimVerified(m_engine, group, claimOf(response, m_storeHistory, era), requestedAt, now());
        performActions();
    });
}

void edge_instance::performAction(write_claim &action)
{
    const group_name group = action.group;
    platform::http_request request = platform::writeClaimRequest(
        group, {action.expected, action.term, action.successor, action.unsettledSuccessors}, m_environment.instance);
    const store_era era = action.expected.era;
    promotionClient(group, m_environment.storeAddress)
        ->call(std::move(request), [this, group, era](const platform::http_response &response) {
            // An answer without a claim can't be that of a write that was done.
            const std::optional<promotion_claim> claim = claimOf(response, m_storeHistory, era);
            if (claim && claim->exists()) {
                onClaimWritten(m_engine, group, claim->position, now());
            } else {
                onClaimWriteFailed(m_engine, group, now());
            }
            performActions();
        });
}

void edge_instance::performAction(order_promotion &action)
{
    const group_name group = action.group;
    platform::http_request request = platform::promotionRequest(group, action.successor, action.fence, m_environment.instance);
    promotionClient(group, m_environment.promotionAddress)
        ->call(std::move(request), [this, group](const platform::http_response &response) {
            onPromotionReply(m_engine, group, platform::outcomeOfStatus(response.status) == platform::request_outcome::done, now());
            performActions();
        });
}

store_history::handlers edge_instance::historyHandlers()
{
    return {[this](store_era era) {
                onFirstStoreEra(m_engine, era, now());
            },
            [this](store_era, store_era era) {
                onStoreHistoryLost(m_engine, era, now());
                for (const std::shared_ptr<object_watch> &watch : {m_databaseWatch, m_configurationWatch, m_instanceWatch}) {
                    watch->onHistoryLost();
                }
                m_storeFeed.onCopiesInvalid();
                performActions();
            },
            [this] {
                m_log.write("store_era_missing", {{"kept", std::to_string(m_storeHistory.era().value())}});
            }};
}

feed_settings edge_instance::feedSettings() const
{
    feed_settings settings = feedSettingsFor(std::chrono::milliseconds(m_environment.configurationDelayMs),
                                             std::chrono::milliseconds(m_environment.drainMs),
                                             m_environment.relayAddress.empty() ? 0 : m_environment.feedMinInstances,
                                             readTimeOf(m_configurationBytes, m_environment.linkBytesPerSecond));
    settings.passedOnBytes = passedOnBytesOf(m_environment.linkBytesPerSecond);
    return settings;
}

void edge_instance::startWatches()
{
    const auto onState = [this] {
        m_storeFeed.onWatchState();
    };
    const auto onReachable = [this](const char *kind) {
        return [this, kind](bool reachable) {
            m_log.write(reachable ? "store_regained" : "store_lost", {{"kind", kind}});
            const bool first = reachable && !m_storeReached;
            m_storeReached = reachable;
            if (first) {
                m_databaseWatch->onStoreReached();
                m_configurationWatch->onStoreReached();
                m_instanceWatch->onStoreReached();
            }
        };
    };
    const auto onListedAgain = [this](const char *kind) {
        return [this, kind](duration after) {
            m_listedAgainAfter = after;
            const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(after).count();
            m_log.write("store_listed_again", {{"kind", kind}, {"after_ms", std::to_string(millis)}});
        };
    };
    const auto onTransfer = [this](const char *kind, bool always) {
        return [this, kind, always](const object_watch::transfer &what) {
            logTransfer(kind, always, what);
        };
    };
    const watch_timing timing = watchTimingFor(std::chrono::milliseconds(m_environment.stableWindowMs));
    const std::uint64_t seed = m_engine.settings.seed;
    // What may be sent rests on the age of the databases' entries and of the configuration: neither is read from old data. Of the list of
    // instances nothing does.
    const watch_timing databaseTiming =
        databaseWatchTimingFor(std::chrono::milliseconds(m_environment.stableWindowMs), std::chrono::milliseconds(m_environment.drainMs));
    m_databaseWatch = std::make_shared<object_watch>(
        m_context,
        m_environment.storeAddress,
        m_storeHistory,
        object_watch::options{platform::databaseKind, databaseBatchDelay, false, databaseMaxBackoff, databaseTiming},
        seed,
        object_watch::handlers{[this](const object_watch::objects &objects, time_point changedSince) {
                                   onDatabasesChanged(objects, changedSince);
                               },
                               onReachable("databases"),
                               onListedAgain("databases"),
                               onState,
                               onTransfer("databases", false)});
    m_configurationWatch = std::make_shared<object_watch>(
        m_context,
        m_environment.storeAddress,
        m_storeHistory,
        object_watch::options{platform::configurationKind, configurationBatchDelay, false, configurationMaxBackoff, timing, true},
        seed + 1,
        object_watch::handlers{[this](const object_watch::objects &objects, time_point) {
                                   onConfigurationChanged(objects);
                               },
                               onReachable("configuration"),
                               onListedAgain("configuration"),
                               onState,
                               onTransfer("configuration", true)});
    m_instanceWatch =
        std::make_shared<object_watch>(m_context,
                                       m_environment.storeAddress,
                                       m_storeHistory,
                                       object_watch::options{platform::instanceKind, instanceBatchDelay, true, databaseMaxBackoff, timing},
                                       seed + 2,
                                       object_watch::handlers{[this](const object_watch::objects &objects, time_point) {
                                                                  onInstancesChanged(objects);
                                                              },
                                                              onReachable("instances"),
                                                              onListedAgain("instances"),
                                                              onState,
                                                              onTransfer("instances", false)});
    m_databaseWatch->start();
    m_configurationWatch->start();
    m_instanceWatch->start();
    m_storeFeed.start({m_databaseWatch, m_configurationWatch, m_instanceWatch});
}

void edge_instance::logTransfer(const char *kind, bool always, const object_watch::transfer &what)
{
    const auto millis = [](duration span) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
    };
    m_incompleteAnswers += what.complete ? 0 : 1;
    if (what.complete && !always) {
        return;
    }
    if (what.complete && what.changes == 1 && what.bytes > m_configurationBytes + m_configurationBytes / 4) {
        m_configurationBytes = what.bytes;
        m_storeFeed.configure(feedSettings());
    }
    m_log.write(what.complete ? "store_changes_read" : "store_answer_incomplete",
                {{"kind", kind},
                 {"by",
                  what.told   ? "instance"
                  : what.list ? "list"
                              : "watch"},
                 {"bytes", std::to_string(what.bytes)},
                 {"changes", std::to_string(what.changes)},
                 {"took_ms", millis(what.took)},
                 {"complete_ms_ago", millis(what.ageBefore)}});
}

void edge_instance::logUnreadable()
{
    const std::uint64_t unreadable = m_databaseWatch->unreadable() + m_configurationWatch->unreadable() + m_instanceWatch->unreadable();
    if (unreadable > 0 && unreadable >= m_unreadableLogged * 2) {
        m_unreadableLogged = unreadable;
        m_log.write("objects_unreadable", {{"total", std::to_string(unreadable)}});
    }
}

void edge_instance::onDatabasesChanged(const object_watch::objects &objects, time_point changedSince)
{
    logUnreadable();
    beginEntries(m_ignoredDatabases, objects);
    database_listing listing;
    for (const auto &[name, object] : objects) {
        std::string problem;
        std::optional<listed_database> database = platform::decodeDatabase(object, problem);
        if (database) {
            acceptEntry(m_ignoredDatabases, name);
            listing.push_back(std::move(*database));
        } else if (ignoreEntry(m_ignoredDatabases, name, problem)) {
            m_log.write("entry_ignored", {{"kind", "databases"}, {"entry", name}, {"why", problem}});
        }
    }
    onListing(m_engine, listing, changedSince, m_databaseWatch->changeAnsweredAt(), now());
    performActions();
}

void edge_instance::onInstancesChanged(const object_watch::objects &objects)
{
    beginEntries(m_ignoredInstances, objects);
    instance_listing instances;
    std::map<instance_name, store_position> positions;
    std::optional<listed_instance> self;
    for (const auto &[name, object] : objects) {
        std::optional<listed_instance> instance = platform::decodeInstance(object);
        if (!instance) {
            constexpr const char *problem = "a field is missing, of another type or out of range";
            if (ignoreEntry(m_ignoredInstances, name, problem)) {
                m_log.write("entry_ignored", {{"kind", "instances"}, {"entry", name}, {"why", problem}});
            }
            continue;
        }
        acceptEntry(m_ignoredInstances, name);
        if (name == m_environment.instance) {
            self = instance;
        }
        positions[instance->name] = object.position;
        instances.push_back(std::move(*instance));
    }
    if (!m_environment.relayAddress.empty()) {
        m_livenessProbes.onListed(instances, positions);
    }
    if (!m_environment.relayAddress.empty() && (!m_stopping || m_registration.isLeaving())) {
        m_registration.onListed(self);
    }
    onInstances(m_engine, instances, now());
    m_storeFeed.setInstances(m_engine.instances, m_environment.dataCentre);
    performActions();
}

void edge_instance::onConfigurationChanged(const object_watch::objects &objects)
{
    const auto found = objects.find(platform::configurationName);
    if (found == objects.end()) {
        return;
    }
    std::string problem;
    const std::optional<route_table> routes = platform::decodeConfiguration(found->second, problem);
    if (!problem.empty()) {
        m_log.write("configuration_damaged", {{"why", problem}, {"revision", std::to_string(found->second.position.revision.value())}});
    }
    if (routes) {
        onConfiguration(m_engine, *routes, now());
        performActions();
    }
}

} // namespace mustardrouter
