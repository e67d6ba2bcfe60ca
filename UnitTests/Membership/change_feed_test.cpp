#include "UnitTests/Membership/feed_world.h"
#include "mustardrouter/Membership/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t minInstances = 4;

feed_settings playedSettings()
{
    return feedSettingsFor(playedConfigurationDelay, playedDrainTime, minInstances);
}

/// A data centre whose instances have settled.
struct settled_world : feed_world {
    explicit settled_world(std::size_t instances, std::uint64_t seed = 1)
        : feed_world(instances, playedSettings(), seed)
    {
        runFor(8s);
    }
    ~settled_world()
    {
        for (const std::string &violation : violations) {
            FAIL(violation.c_str());
        }
    }
    bool allKnow(feed_kind kind, const std::string &name, store_position position)
    {
        for (std::size_t index = 0; index < size(); ++index) {
            const fed_copy &copy = at(index).copies.at(static_cast<std::size_t>(kind));
            const auto found = copy.objects.find(name);
            if (at(index).running && at(index).frozenUntil <= now() && (found == copy.objects.end() || found->second.position < position)) {
                return false;
            }
        }
        return true;
    }
    store_position newest(std::size_t index, feed_kind kind)
    {
        return at(index).copies.at(static_cast<std::size_t>(kind)).position;
    }
    /// Every instance has the change within the span.
    void checkAllLearnWithin(duration span)
    {
        const store_position before =
            newest(withRole(feed_role::watching).empty() ? 0 : withRole(feed_role::watching).front(), feed_kind::configuration);
        put(feed_kind::configuration, "main");
        runFor(span);
        const store_position next{before.era, store_revision(before.revision.value() + 1)};
        CHECK_TRUE(allKnow(feed_kind::configuration, "main", next));
    }
};

} // namespace

TEST_GROUP(change_feed){};

TEST(change_feed, theBoundsOfAllDeploymentsLeaveRoomForTheOwnQuestion)
{
    for (const duration bound : {3000ms, 4000ms, 6000ms, 8000ms}) {
        const feed_settings settings = feedSettingsFor(bound, 10s, 8);
        CHECK_TRUE(settings.minInstances == 8);
        CHECK_TRUE(settings.ageLimit + settings.askJitter + 400ms <= bound);
        CHECK_TRUE(settings.held + settings.pollInterval + 200ms <= settings.ageLimit);
        CHECK_TRUE(settings.ageLimit + settings.askJitter + 400ms <= 10s - 3s);
    }
    CHECK_EQUAL(0U, feedSettingsFor(1000ms, 10s, 8).minInstances);
    CHECK_EQUAL(0U, feedSettingsFor(4000ms, 3500ms, 8).minInstances);
}

TEST(change_feed, aFollowerAsksEarlyEnoughToReadALargeConfigurationOverItsLink)
{
    constexpr double tenMegabit = 10e6 / 8;
    const duration readTime = readTimeOf(277'000, tenMegabit);
    CHECK_TRUE(readTime >= 221ms);
    const feed_settings settings = feedSettingsFor(6s, 10s, 8, readTime);
    CHECK_EQUAL(8U, settings.minInstances);
    CHECK_TRUE(settings.ageLimit + settings.askJitter + 400ms + readTime <= 6s);
    CHECK_TRUE(settings.held + settings.pollInterval + 200ms <= settings.ageLimit);
    // Where that leaves no time for sources, each asks the store itself.
    CHECK_EQUAL(0U, feedSettingsFor(3s, 10s, 8, readTimeOf(1'000'000, tenMegabit)).minInstances);
    CHECK_TRUE(readTimeOf(1'000'000, 0) == duration{});
}

TEST(change_feed, twoInstancesAskTheStoreAndTheOthersFollow)
{
    settled_world world(30);
    CHECK_EQUAL(2U, world.withRole(feed_role::watching).size());
    CHECK_EQUAL(28U, world.withRole(feed_role::following).size());
    const std::uint64_t before = world.calls;
    world.runFor(20s);
    // Two instances with three kinds, each at least once in the time for which a request is held; 30 instances that ask for
    // themselves every 4 s make 450 calls.
    const std::uint64_t asked = world.calls - before;
    CHECK_TRUE(asked <= 2 * feedKinds * static_cast<std::uint64_t>(20s / playedSettings().held + 1));
    world.checkAllLearnWithin(50ms);
}

TEST(change_feed, aSmallDataCentreAsksAsBefore)
{
    settled_world world(minInstances - 1);
    CHECK_EQUAL(minInstances - 1, world.withRole(feed_role::alone).size());
    world.checkAllLearnWithin(50ms);
}

TEST(change_feed, oneFrozenWatcherCostsNothing)
{
    settled_world world(12);
    world.freeze(world.withRole(feed_role::watching).front(), 20s);
    world.runFor(100ms);
    world.checkAllLearnWithin(200ms * 10);
    world.runFor(15s);
    for (const std::size_t index : world.withRole(feed_role::following)) {
        CHECK_EQUAL(0U, world.at(index).timesAsking);
    }
    CHECK_EQUAL(3U, world.withRole(feed_role::watching).size());
}

TEST(change_feed, bothWatchersFrozenAtTheMomentOfAChange)
{
    settled_world world(40);
    for (const std::size_t index : world.withRole(feed_role::watching)) {
        world.freeze(index, 20s);
    }
    world.put(feed_kind::configuration, "main");
    // The play itself checks that all instances in touch know the change within their bound.
    world.runFor(20s);
    // The next two in rank have taken over.
    CHECK_TRUE(world.withRole(feed_role::following).size() >= 36);
}

TEST(change_feed, bothWatchersCutFromTheStoreOrFromTheOthers)
{
    for (const bool fromStore : {true, false}) {
        settled_world world(40);
        const std::vector<std::size_t> watchers = world.withRole(feed_role::watching);
        for (const std::size_t index : watchers) {
            fromStore ? world.cutFromStore(index, true) : world.cutFromPeers(index, true);
        }
        world.put(feed_kind::configuration, "main");
        world.runFor(6s);
        world.put(feed_kind::databases, "db", true);
        world.runFor(6s);
        CHECK_TRUE(world.withRole(feed_role::following).size() >= 34);
    }
}

TEST(change_feed, bothWatchersKilledWhileAChangeIsMade)
{
    settled_world world(40);
    for (const std::size_t index : world.withRole(feed_role::watching)) {
        world.kill(index);
    }
    world.put(feed_kind::configuration, "main");
    world.runFor(10s);
    CHECK_EQUAL(2U, world.withRole(feed_role::watching).size());
    CHECK_EQUAL(36U, world.withRole(feed_role::following).size());
}

TEST(change_feed, aWatcherThatStopsIsReplacedBeforeItEnds)
{
    settled_world world(20);
    const std::size_t stopping = world.withRole(feed_role::watching).front();
    world.stopSlowly(stopping);
    world.runFor(1s);
    CHECK_EQUAL(3U, world.withRole(feed_role::watching).size());
    world.runFor(10s);
    CHECK_EQUAL(2U, world.withRole(feed_role::watching).size());
    for (const std::size_t index : world.withRole(feed_role::following)) {
        CHECK_EQUAL(0U, world.at(index).timesAsking);
    }
}

TEST(change_feed, watchersOfAnOldBuildArePassedOver)
{
    settled_world world(20);
    const std::vector<std::size_t> watchers = world.withRole(feed_role::watching);
    for (const std::size_t index : watchers) {
        world.kill(index);
        world.start(index, true);
    }
    world.runFor(6s);
    world.checkAllLearnWithin(50ms);
    CHECK_TRUE(world.withRole(feed_role::following).size() >= 12);
}

TEST(change_feed, aLostHistoryIsReadAgainByEach)
{
    settled_world world(20);
    world.put(feed_kind::databases, "lost");
    world.runFor(100ms);
    const std::uint64_t before = world.calls;
    world.loseHistory(1);
    world.put(feed_kind::configuration, "main");
    world.runFor(5s);
    CHECK_TRUE(world.calls - before >= 20 * feedKinds);
    for (std::size_t index = 0; index < world.size(); ++index) {
        CHECK_FALSE(world.at(index).copies.at(0).objects.contains("lost"));
        CHECK_TRUE(world.at(index).era == store_era(2));
    }
    world.runFor(5s);
    CHECK_EQUAL(18U, world.withRole(feed_role::following).size());
}

TEST(change_feed, aFollowerThatComesLateGetsAllItLacks)
{
    settled_world world(12);
    const std::size_t late = world.withRole(feed_role::following).front();
    world.freeze(late, 3s);
    for (int change = 0; change < 100; ++change) {
        world.put(feed_kind::databases, "db" + std::to_string(change % 7));
        if (change % 3 == 0) {
            world.remove(feed_kind::databases, "db" + std::to_string(change % 5));
        }
        world.runFor(25ms);
    }
    world.runFor(4s);
    for (std::size_t index = 0; index < world.size(); ++index) {
        CHECK_TRUE(world.at(index).copies.at(0).objects == world.at(world.withRole(feed_role::watching).front()).copies.at(0).objects);
    }
}

namespace
{

/// One instance of a large data centre whose two sources reply as the test says.
struct fed_by_hand {
    feed_settings settings = playedSettings();
    change_feed feed = makeFeed(settings, instance_name("self"), 1);
    time_point now{std::chrono::hours(1)};

    fed_by_hand()
    {
        std::vector<feed_peer> peers;
        // The last in rank follows.
        const std::vector<instance_name> ranked =
            rankInstances("store changes", {instance_name("a"), instance_name("b"), instance_name("c"), instance_name("d")});
        feed.self = ranked.back();
        for (const instance_name &name : ranked) {
            peers.push_back({name, name.value()});
        }
        setPeers(feed, peers);
        for (int polls = 0; polls < 10; ++polls) {
            step(settings.pollInterval, now + settings.pollInterval, true);
        }
        CHECK_TRUE(feed.role == feed_role::following);
    }
    /// Both sources reply at once; their copies are complete since the time.
    void step(duration after, time_point completeSince, bool reachesStore)
    {
        now += after;
        for (const feed_peer &peer : advance(feed, {true, true}, now)) {
            feed_report report{now, reachesStore, false, {}};
            report.completeSince.fill(completeSince);
            onReport(feed, peer.name, report, now);
        }
        advance(feed, {true, true}, now);
    }
};

} // namespace

TEST(change_feed, sourcesThatReplyAndReachTheStoreButAreBehindAreNotBelieved)
{
    fed_by_hand one;
    const time_point complete = one.now;
    for (time_point end = one.now + one.settings.ageLimit; one.now < end;) {
        one.step(50ms, complete, true);
        CHECK_TRUE(one.now >= end || one.feed.role == feed_role::following);
    }
    one.step(one.settings.askJitter, complete, true);
    CHECK_TRUE(one.feed.role == feed_role::asking);
    // The timer that it asks for is not later than that.
    fed_by_hand other;
    CHECK_TRUE(nextDue(other.feed, other.now).has_value());
    CHECK_TRUE(*nextDue(other.feed, other.now) <= other.now + other.settings.ageLimit + other.settings.askJitter);
}

TEST(change_feed, oneKindThatIsBehindIsEnough)
{
    fed_by_hand one;
    one.feed.completeSince.at(1) = one.now - one.settings.ageLimit - one.settings.askJitter;
    advance(one.feed, {true, true}, one.now);
    CHECK_TRUE(one.feed.role == feed_role::asking);
}

TEST(change_feed, sourcesThatSayThatTheyAreCutAreNotWaitedFor)
{
    fed_by_hand one;
    one.step(one.settings.pollInterval, one.now, false);
    one.step(one.settings.askJitter, one.now, false);
    CHECK_TRUE(one.feed.role == feed_role::asking);
}

TEST(change_feed, changesOfAnotherEraOrWithAGapDoNotContinueACopy)
{
    const auto position = [](std::uint64_t era, std::uint64_t revision) {
        return store_position{store_era(era), store_revision(revision)};
    };
    CHECK_TRUE(continuesAt(position(1, 5), false, position(1, 5), position(1, 7)));
    CHECK_TRUE(continuesAt(position(1, 6), false, position(1, 5), position(1, 7)));
    CHECK_TRUE(continuesAt(position(1, 3), true, position(1, 5), position(1, 7)));
    CHECK_FALSE(continuesAt(position(1, 4), false, position(1, 5), position(1, 7)));
    CHECK_FALSE(continuesAt(position(1, 8), true, position(1, 5), position(1, 7)));
    CHECK_FALSE(continuesAt(position(1, 5), false, position(1, 5), position(2, 3)));
    CHECK_FALSE(continuesAt(position(1, 5), true, position(1, 5), position(2, 9)));
    change_log log;
    restartLog(log, position(1, 5));
    appendToLog(log, {position(1, 5), position(1, 7), {}, {}, {"gone"}});
    CHECK_TRUE(changesSince(log, position(1, 4))->whole);
    CHECK_TRUE(changesSince(log, position(1, 6))->removed.contains("gone"));
    CHECK_FALSE(changesSince(log, position(1, 7)).has_value());
    CHECK_FALSE(changesSince(log, position(0, 6)).has_value());
}

namespace
{

/// One random fault, which ends by itself.
void addFault(feed_world &world)
{
    std::mt19937_64 &random = world.random();
    const std::size_t watchers = world.withRole(feed_role::watching).size();
    // Half of the faults meet watchers.
    const std::size_t target =
        watchers > 0 && random() % 2 == 0 ? world.withRole(feed_role::watching)[random() % watchers] : random() % world.size();
    const duration length(static_cast<std::int64_t>(100'000 + random() % 7'000'000));
    const time_point end = world.now() + length;
    switch (random() % 9) {
    case 0:
        world.freeze(target, length);
        break;
    case 1:
        world.kill(target);
        world.at(end, [&world, target, old = random() % 4 == 0] {
            world.start(target, old);
        });
        break;
    case 2:
        world.cutFromStore(target, true);
        world.at(end, [&world, target] {
            world.cutFromStore(target, false);
        });
        break;
    case 3:
        world.cutFromPeers(target, true);
        world.at(end, [&world, target] {
            world.cutFromPeers(target, false);
        });
        break;
    case 4:
        world.setStoreSilent(true);
        world.at(end, [&world] {
            world.setStoreSilent(false);
        });
        break;
    case 5:
        world.loseHistory(random() % 4);
        break;
    case 6:
        world.stopSlowly(target);
        world.at(world.now() + 3s + length, [&world, target] {
            world.start(target);
        });
        break;
    case 7:
        world.at(target).linkDelay = duration(static_cast<std::int64_t>(random() % 4'000'000));
        world.at(end, [&world, target] {
            world.at(target).linkDelay = {};
            world.at(target).disturbedAt = std::max(world.at(target).disturbedAt, world.now());
        });
        break;
    default:
        // A third of the instances does not reach the store.
        for (std::size_t index = random() % 3; index < world.size(); index += 3) {
            world.cutFromStore(index, true);
            world.at(end, [&world, index] {
                world.cutFromStore(index, false);
            });
        }
    }
}

void play(std::uint64_t seed)
{
    std::mt19937_64 sizes(seed);
    const std::size_t count = sizes() % 4 == 0 ? 20 + sizes() % 41 : 2 + sizes() % 12;
    feed_world world(count, playedSettings(), seed);
    std::mt19937_64 &random = world.random();
    world.runFor(6s);
    for (int step = 0; step < 60; ++step) {
        world.runFor(duration(static_cast<std::int64_t>(random() % 500'000)));
        if (random() % 3 == 0) {
            world.put(feed_kind::configuration, "main");
        }
        const std::string name = "db" + std::to_string(random() % 5);
        if (random() % 3 == 0) {
            random() % 3 == 0 ? world.remove(feed_kind::databases, name) : world.put(feed_kind::databases, name, random() % 2 == 0);
        }
        if (random() % 5 == 0) {
            addFault(world);
        }
    }
    world.runFor(14s);
    world.put(feed_kind::configuration, "main");
    world.runFor(6s);
    for (const std::string &violation : world.violations) {
        UT_PRINT(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
    CHECK_TRUE(world.violations.empty());
}

} // namespace

TEST(change_feed, everyChangeIsKnownInTimeInRandomHistories)
{
    constexpr std::uint64_t plays = 300;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        play(seed);
    }
}
