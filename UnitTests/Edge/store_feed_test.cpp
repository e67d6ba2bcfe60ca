#include "mustardrouter/Edge/boot_time.h"
#include "mustardrouter/Edge/store_feed.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"

#include <CppUTest/TestHarness.h>

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <unistd.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instanceCount = 3;
/// The strictest bounds of the users' deployments.
constexpr duration configurationDelay = 3000ms;
constexpr duration drainTime = 7000ms;

std::string freeAddress(asio::io_context &context)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// The part of an instance that learns of the store's changes: three watches, the links and the feed.
class fed_part
{
public:
    fed_part(asio::io_context &context, const std::string &store, listed_instance self, event_log &log, const feed_settings &settings)
        : m_self(std::move(self))
        , m_links(context, linkHandlers())
        , m_history({[](store_era) {
                     },
                     [this](store_era, store_era) {
                         for (const auto &watch : m_watches) {
                             watch->onHistoryLost();
                         }
                         m_feed.onCopiesInvalid();
                     },
                     [] {
                     }})
        , m_feed(context, m_links, log, settings, m_self.name, 1, [this](store_era era) {
            m_history.learn(era);
        })
    {
        CHECK_TRUE(m_links.listen(m_self.relayAddress));
        const char *const kinds[] = {platform::databaseKind, platform::configurationKind, platform::instanceKind};
        for (std::size_t kind = 0; kind < feedKinds; ++kind) {
            object_watch::handlers callbacks;
            callbacks.onChange = [this, kind](const object_watch::objects &objects, time_point) {
                onChange(kind, objects);
            };
            callbacks.onReachable = [](bool) {
            };
            callbacks.onListedAgain = [](duration) {
            };
            callbacks.onState = [this] {
                m_feed.onWatchState();
            };
            m_watches.at(kind) =
                std::make_shared<object_watch>(context,
                                               store,
                                               m_history,
                                               object_watch::options{kinds[kind], 400ms, false, 400ms, watchTimingFor(5s), kind == 1},
                                               kind,
                                               callbacks);
            m_watches.at(kind)->start();
        }
        m_feed.start(m_watches);
    }
    /// Neither asks the store nor answers any more.
    void end()
    {
        ended = true;
        cutFromPeers = true;
        for (const auto &watch : m_watches) {
            watch->stop();
        }
    }
    feed_role role() const
    {
        return m_feed.currentFigures().role;
    }
    std::string version() const
    {
        const object_watch::objects &objects = m_watches.at(1)->current();
        return objects.contains("main") ? objects.at("main").content.asString() : std::string();
    }
    /// The configuration; null if there is none.
    Json::Value configuration() const
    {
        const object_watch::objects &objects = m_watches.at(1)->current();
        return objects.contains("main") ? objects.at("main").content : Json::Value();
    }
    /// Another instance's reply, as if it came from there.
    void hear(const std::string &address, const relay::store_changes &reply)
    {
        m_feed.onPeerMessage(address, reply);
    }
    store_position position() const
    {
        return m_watches.at(1)->position();
    }
    std::uint64_t requests() const
    {
        return m_feed.currentFigures().requests;
    }
    std::size_t databases() const
    {
        return m_watches.at(0)->current().size();
    }
    const std::string &address() const
    {
        return m_self.relayAddress;
    }
    bool cutFromPeers = false;
    bool ended = false;
    /// Size of what its sources told it.
    std::size_t toldBytes = 0;

private:
    relay_links::handlers linkHandlers()
    {
        relay_links::handlers callbacks;
        callbacks.onPeerMessage = [this](const std::string &address, const relay::relay_message &message) {
            toldBytes += message.ByteSizeLong();
            if (!cutFromPeers) {
                m_feed.onPeerMessage(address, message.changes());
            }
        };
        callbacks.onIncomingMessage = [this](std::uint64_t link, const relay::relay_message &message) {
            if (!cutFromPeers) {
                m_feed.onIncomingMessage(link, message.changes());
            }
        };
        callbacks.onPeerLost = [this](const std::string &address) {
            m_feed.onPeerLost(address);
        };
        callbacks.onIncomingLost = [this](std::uint64_t link) {
            m_feed.onIncomingLost(link);
        };
        return callbacks;
    }
    void onChange(std::size_t kind, const object_watch::objects &objects)
    {
        if (kind != 2) {
            return;
        }
        instance_listing instances;
        for (const auto &[name, object] : objects) {
            if (const std::optional<listed_instance> instance = platform::decodeInstance(object)) {
                instances.push_back(*instance);
            }
        }
        m_feed.setInstances(instances, m_self.dataCentre);
    }

    listed_instance m_self;
    relay_links m_links;
    store_history m_history;
    store_feed::watches m_watches;
    store_feed m_feed;
};

/// Instances of one data centre and a store, all on loopback.
struct fed_data_centre {
    asio::io_context context;
    standin_store store{context,
                        {[](std::size_t, const std::string &address) {
                             return address;
                         },
                         {}},
                        1};
    int output[2] = {-1, -1};
    std::unique_ptr<event_log> log;
    std::vector<std::unique_ptr<fed_part>> parts;

    explicit fed_data_centre(std::size_t minInstances = instanceCount, std::size_t passedOnBytes = SIZE_MAX)
    {
        feed_settings settings = feedSettingsFor(configurationDelay, drainTime, minInstances);
        settings.passedOnBytes = passedOnBytes;
        CHECK_EQUAL(0, ::pipe(output));
        log = std::make_unique<event_log>("test", output[1]);
        std::vector<listed_instance> instances;
        for (std::size_t index = 0; index < instanceCount; ++index) {
            instances.push_back({instance_name("i-" + std::to_string(index)), freeAddress(context), "here", 1, false});
            Json::Value entry;
            entry["address"] = instances.back().relayAddress;
            entry["data_centre"] = "here";
            entry["capacity"] = 1;
            entry["leaving"] = false;
            store.objects().put(platform::instanceKind, instances.back().name.value(), entry);
        }
        store.objects().put(platform::configurationKind, "main", "first");
        store.objects().put(platform::databaseKind, "db", "one");
        for (const listed_instance &instance : instances) {
            parts.push_back(std::make_unique<fed_part>(context, store.addInstance(), instance, *log, settings));
        }
        context.run_for(3500ms);
    }
    ~fed_data_centre()
    {
        for (const auto &part : parts) {
            part->end();
        }
        parts.clear();
        log.reset();
        ::close(output[0]);
        ::close(output[1]);
    }
    std::vector<std::size_t> withRole(feed_role role) const
    {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < parts.size(); ++index) {
            if (!parts[index]->ended && parts[index]->role() == role) {
                found.push_back(index);
            }
        }
        return found;
    }
    void publish(const Json::Value &version)
    {
        store.objects().put(platform::configurationKind, "main", version);
        store.notifyWatches();
    }
    bool allHave(const std::string &version) const
    {
        return std::ranges::all_of(parts, [&](const auto &part) {
            return part->ended || part->version() == version;
        });
    }
};

} // namespace

TEST_GROUP(store_feed){};

TEST(store_feed, twoOfThreeAskTheStoreAndAChangeReachesAll)
{
    fed_data_centre place;
    CHECK_EQUAL(2U, place.withRole(feed_role::watching).size());
    CHECK_EQUAL(1U, place.withRole(feed_role::following).size());
    const fed_part &follower = *place.parts[place.withRole(feed_role::following).front()];
    const std::uint64_t requests = follower.requests();
    place.context.run_for(2s);
    CHECK_EQUAL(requests, follower.requests());
    place.publish("second");
    place.store.objects().remove(platform::databaseKind, "db");
    place.store.notifyWatches();
    place.context.run_for(150ms);
    CHECK_TRUE(place.allHave("second"));
    for (const auto &part : place.parts) {
        CHECK_EQUAL(0U, part->databases());
    }
}

TEST(store_feed, whereTheDataCentreIsSmallEachAsks)
{
    fed_data_centre place(instanceCount + 1);
    CHECK_EQUAL(instanceCount, place.withRole(feed_role::alone).size());
    place.publish("second");
    place.context.run_for(100ms);
    CHECK_TRUE(place.allHave("second"));
}

TEST(store_feed, watchersThatEndAtTheMomentOfAChange)
{
    fed_data_centre place;
    for (const std::size_t index : place.withRole(feed_role::watching)) {
        place.parts[index]->end();
    }
    place.publish("second");
    place.context.run_for(configurationDelay);
    CHECK_TRUE(place.allHave("second"));
}

TEST(store_feed, watchersThatFallSilentAtTheMomentOfAChange)
{
    fed_data_centre place;
    const std::size_t follower = place.withRole(feed_role::following).front();
    for (const std::size_t index : place.withRole(feed_role::watching)) {
        place.parts[index]->cutFromPeers = true;
    }
    place.publish("second");
    place.context.run_for(configurationDelay);
    CHECK_EQUAL(std::string("second"), place.parts[follower]->version());
}

TEST(store_feed, watchersThatAreCutFromTheStoreAtTheMomentOfAChange)
{
    fed_data_centre place;
    const std::size_t follower = place.withRole(feed_role::following).front();
    for (const std::size_t index : place.withRole(feed_role::watching)) {
        place.store.faults().refusedInstances.insert(index);
    }
    place.store.faults().refusal = store_failure::silent;
    place.publish("second");
    place.context.run_for(configurationDelay);
    CHECK_EQUAL(std::string("second"), place.parts[follower]->version());
}

TEST(store_feed, aLostHistoryIsHeardOfAndReadAgain)
{
    fed_data_centre place;
    place.store.keepCopy(bootTime());
    place.store.objects().put(platform::databaseKind, "lost", "two");
    place.store.notifyWatches();
    place.context.run_for(150ms);
    place.store.returnFromCopy(duration{}, bootTime());
    place.publish("second");
    place.context.run_for(1500ms);
    CHECK_TRUE(place.allHave("second"));
    for (const auto &part : place.parts) {
        CHECK_EQUAL(1U, part->databases());
    }
}

namespace
{

/// A configuration as large as some of the users': 277 kB.
Json::Value largeConfiguration(int version)
{
    Json::Value content;
    content["version"] = version;
    for (int index = 0; index < 1400; ++index) {
        Json::Value route;
        route["host"] = "route-with-a-name-of-usual-length-" + std::to_string(index);
        route["service"] = "service-" + std::to_string(index % 8);
        route["type"] = "bounded_staleness";
        route["max_staleness_ms"] = 1500;
        route["timeout_ms"] = 800 + index % 7;
        route["target_latency_ms"] = 1000;
        route["priority"] = index % 3;
        content["routes"].append(route);
    }
    return content;
}

} // namespace

TEST(store_feed, aSmallChangeOfALargeConfigurationIsNotPassedOnAsAllOfIt)
{
    fed_data_centre place;
    Json::Value content = largeConfiguration(1);
    place.publish(content);
    place.context.run_for(600ms);
    const std::size_t follower = place.withRole(feed_role::following).front();
    CHECK_TRUE(place.parts[follower]->configuration() == content);
    for (int version = 2; version <= 4; ++version) {
        content["version"] = version;
        content["routes"][700]["timeout_ms"] = version;
        Json::Value added = content["routes"][0];
        added["host"] = "added-" + std::to_string(version);
        content["routes"].append(added);
        const std::size_t before = place.parts[follower]->toldBytes;
        place.publish(content);
        place.context.run_for(600ms);
        CHECK_TRUE(place.parts[follower]->configuration() == content);
        CHECK_TRUE(place.parts[follower]->toldBytes - before < 10'000);
    }
}

TEST(store_feed, aDifferenceThatDoesNotFitIsFollowedByAQuestionToTheStore)
{
    fed_data_centre place;
    const Json::Value content = largeConfiguration(1);
    place.publish(content);
    place.context.run_for(600ms);
    fed_part &follower = *place.parts[place.withRole(feed_role::following).front()];
    relay::store_changes reply;
    reply.set_reply(true);
    reply.set_polled_at(static_cast<std::uint64_t>(bootTime().time_since_epoch().count()));
    reply.set_reaches_store(true);
    relay::told_kind &kind = *reply.add_kinds();
    kind.set_kind(1);
    kind.mutable_from()->set_era(follower.position().era.value());
    kind.mutable_from()->set_revision(follower.position().revision.value());
    kind.mutable_to()->set_era(follower.position().era.value());
    kind.mutable_to()->set_revision(follower.position().revision.value() + 2);
    relay::told_object &object = *kind.add_objects();
    object.set_name("main");
    object.set_revision(follower.position().revision.value() + 2);
    relay::told_difference &difference = *object.add_differences();
    difference.set_before(follower.position().revision.value() + 1);
    difference.set_after(follower.position().revision.value() + 2);
    difference.set_difference("{}");
    const std::uint64_t requests = follower.requests();
    follower.hear(place.parts[place.withRole(feed_role::watching).front()]->address(), reply);
    CHECK_TRUE(follower.configuration() == content);
    place.context.run_for(1200ms);
    CHECK_TRUE(follower.requests() > requests);
    CHECK_TRUE(follower.configuration() == content);
}

TEST(store_feed, aConfigurationThatWouldFillTheLinkIsReadFromTheStore)
{
    fed_data_centre place(instanceCount, 100'000);
    fed_part &follower = *place.parts[place.withRole(feed_role::following).front()];
    const std::uint64_t requests = follower.requests();
    const Json::Value content = largeConfiguration(1);
    place.publish(content);
    place.context.run_for(600ms);
    CHECK_TRUE(follower.configuration() == content);
    CHECK_TRUE(follower.toldBytes < 10'000);
    CHECK_TRUE(follower.requests() > requests);
    // It follows again after that.
    place.context.run_for(4s);
    CHECK_TRUE(follower.role() == feed_role::following);
}

TEST(store_feed, aConfigurationThatWouldFillTheLinkIsToldToOneThatTheStoreRefuses)
{
    fed_data_centre place(instanceCount, 100'000);
    const std::size_t index = place.withRole(feed_role::following).front();
    fed_part &follower = *place.parts[index];
    place.store.faults().refusedInstances.insert(index);
    const Json::Value content = largeConfiguration(1);
    place.publish(content);
    place.context.run_for(2s);
    CHECK_TRUE(follower.configuration() == content);
}
