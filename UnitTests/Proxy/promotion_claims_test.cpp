#include "UnitTests/Proxy/proxy_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// A primary that leaves, in a deployment where replaced primaries are told to step down.
struct leaving_world : proxy_world {
    leaving_world()
        : proxy_world(1)
    {
        addGroup();
        configure(1);
        replacedPrimariesContinue = true;
        engine.settings.replacedPrimariesStepDown = false;
        promotionTime = 2500ms;
        runFor(5s);
        primary().listed.leaving = true;
    }

    void runWithWrites(duration span)
    {
        for (const time_point end = now + span; now < end;) {
            send(connect("latest"), client_verb::write, "x", "1");
            runFor(50ms);
        }
    }
};

} // namespace

TEST_GROUP(promotion_claims){};

TEST(promotion_claims, aPromotionUnderWayIsNotOrderedAgainWhenItsCauseVanishesAndReturns)
{
    leaving_world world;
    world.runWithWrites(500ms);
    world.publishListing();
    world.runWithWrites(6s);
    CHECK_TRUE(world.reports["promotion_no_longer_wanted"] > 0);
    CHECK_EQUAL(1U, world.fences.size());
    CHECK_TRUE(!world.primary().listed.leaving);
}

TEST(promotion_claims, anotherInstancesClaimIsGivenItsTimeWhenTheCauseVanishesAndReturns)
{
    leaving_world world;
    const database_name old = world.primary().listed.name;
    world.runWithWrites(500ms);
    world.promoteFromOtherInstance(database_name("db-2"));
    world.publishListing();
    while (world.reports["promotion_left_to_other"] == 0) {
        world.runWithWrites(50ms);
    }
    world.databases.at(old).primary = false;
    world.runWithWrites(6s);
    CHECK_TRUE(world.reports["promotion_no_longer_wanted"] > 0);
    CHECK_EQUAL(0U, world.fences.size());
    CHECK_TRUE(world.primary().listed.name == database_name("db-2"));
}

TEST(promotion_claims, aClaimThatLeadsToNothingIsTakenOverAfterItsTime)
{
    leaving_world world;
    world.claim = {world.nextPosition(), world.primary().term, database_name("db-2"), {}};
    world.publishListing();
    while (world.reports["promotion_left_to_other"] == 0) {
        world.runFor(1ms);
    }
    world.runFor(world.engine.settings.promotionTimeout - 100ms);
    CHECK_EQUAL(0U, world.fences.size());
    world.runFor(1500ms);
    CHECK_EQUAL(1U, world.fences.size());
}
