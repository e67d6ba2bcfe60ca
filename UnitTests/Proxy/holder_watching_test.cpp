#include "UnitTests/Proxy/relaying_world.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// The primary drains for 7 s. Its replacement is ordered within 2 s of the notice, and takes 0.3 s.
constexpr duration replacedWithin = 3s;

const database_name firstPrimary("db-0");

void announceLeaving(relaying_world &world)
{
    world.databases.at(firstPrimary).listed.leaving = true;
    world.publishListing();
}

/// A list whose only candidate for holder is an instance that does not exist.
void tellOfHolderThatIsGone(relaying_world &world, proxy_engine &instance)
{
    onInstances(instance,
                {{instance_name("instance-1"), "10.1.0.1:2", "dc-0", 1, true},
                 {instance_name("instance-2"), "10.1.0.2:2", "dc-1", 1, true},
                 {instance_name("instance-9"), "10.1.0.9:2", "dc-2", 1, false}},
                world.now);
    world.performActions();
}

void checkReplaced(const relaying_world &world)
{
    CHECK_TRUE(!world.databases.at(firstPrimary).primary);
    CHECK_TRUE_TEXT(world.violations.empty(), world.violations.empty() ? "" : world.violations.front().c_str());
}

} // namespace

TEST_GROUP(holder_watching){};

TEST(holder_watching, aLeavingPrimaryIsReplacedAlthoughTheOnlyHolderInTheListIsGone)
{
    // Review 6: the entry of a machine that had left for good made it the only holder; nobody ordered a promotion.
    relaying_world world;
    world.standStill();
    announceLeaving(world);
    world.runFor(replacedWithin);
    checkReplaced(world);
}

TEST(holder_watching, aSilentPrimaryIsReplacedWithinTheTimeOfAPromotionAlthoughTheOnlyHolderIsGone)
{
    relaying_world world;
    world.standStill();
    // The first statement finds out that the holder does not reply.
    CHECK_TRUE(world.sendAndWait(world.connectToEntry("age"), client_verb::read, "x").code == reply_code::done);
    fake_client &client = world.connectToEntry("latest");
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    world.crash(world.databases.at(firstPrimary));
    world.send(client, client_verb::write, "x", "2");
    world.runFor(5s);
    checkReplaced(world);
}

TEST(holder_watching, thePrimaryIsReplacedAlthoughTheLastHolderDiesAfterTheNotice)
{
    relaying_world world;
    // The holder can't order anything before it dies.
    world.storeUnavailable = true;
    announceLeaving(world);
    world.runFor(2s);
    CHECK_FALSE(world.groupAtEntry().watchedHere);
    world.standStill();
    world.storeUnavailable = false;
    world.runFor(1s + replacedWithin);
    checkReplaced(world);
}

TEST(holder_watching, whileAHolderWatchesOthersOpenNoConnectionsToDatabases)
{
    relaying_world world;
    world.storeUnavailable = true;
    announceLeaving(world);
    world.runFor(4s);
    CHECK_EQUAL(0, world.entry->counters.connectionsOpened);
    CHECK_FALSE(world.groupAtEntry().watchedHere);
}

TEST(holder_watching, aHolderThatLeavesTheWatchingToOthersIsNotReliedOn)
{
    // Two lists that differ: each of the two instances takes another one for the holder, and the second of these is gone.
    relaying_world world;
    tellOfHolderThatIsGone(world, world.engine);
    // Cut off from the store: it can't replace the primary itself.
    group_state &atHolder = world.engine.groups.at(group_name("g"));
    CHECK_FALSE(atHolder.holders.empty());
    CHECK_EQUAL(1, proxying::groupsWatchedElsewhere(world.engine).size());
    world.databases.at(firstPrimary).listed.leaving = true;
    database_listing listing;
    for (const auto &[name, database] : world.databases) {
        listing.push_back(database.listed);
    }
    onListing(*world.entry, listing, world.now, world.now);
    world.performActions();
    world.runFor(replacedWithin);
    checkReplaced(world);
}

TEST(holder_watching, anInstanceThatIsNoLongerAHolderFinishesThePromotionThatItHasBegun)
{
    relaying_world world;
    announceLeaving(world);
    world.runFor(20ms);
    CHECK_TRUE(world.engine.groups.at(group_name("g")).failover.cause == failover_cause::leaving);
    tellOfHolderThatIsGone(world, world.engine);
    world.entry.reset();
    world.runFor(replacedWithin);
    checkReplaced(world);
}

TEST(holder_watching, replicasThatAFormerHolderHasPausedAreResumed)
{
    relaying_world world;
    group_state &group = world.engine.groups.at(group_name("g"));
    database_state &replica = group.databases.at(database_name("db-1"));
    replica.pausedAt = world.now;
    world.databases.at(database_name("db-1")).pausedUntilTerm = term_number(2);
    tellOfHolderThatIsGone(world, world.engine);
    proxying::scheduleGroupCheck(world.engine, group, world.now);
    world.runFor(1s);
    CHECK_TRUE(world.databases.at(database_name("db-1")).pausedUntilTerm == term_number{});
}
