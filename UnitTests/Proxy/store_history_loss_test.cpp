#include "UnitTests/Proxy/proxy_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

struct ready_world : proxy_world {
    ready_world()
        : proxy_world(1)
    {
        addGroup();
        configure(1);
        runFor(5s);
    }

    /// Kills the primary and returns after how long another one leads, or 30 s.
    duration replacePrimary()
    {
        const database_name old = primary().listed.name;
        const time_point killedAt = now;
        primary().unresponsive = true;
        fake_client &client = connect("latest");
        send(client, client_verb::write, "x", "1");
        while (primary().listed.name == old && now - killedAt < 30s) {
            runFor(50ms);
        }
        return now - killedAt;
    }
};

listed_instance instanceNamed(const std::string &name)
{
    return {instance_name(name), "10.0.1.1:7", "dc-0", 1, false};
}

} // namespace

TEST_GROUP(store_history_loss){};

TEST(store_history_loss, aFenceIsHigherThanThoseBeforeTheLossThoughRevisionsGoBack)
{
    ready_world world;
    CHECK_TRUE(world.replacePrimary() < 5s);
    world.restart(world.databases.at(database_name("db-0")));
    world.runFor(2s);
    world.loseStoreHistory();
    world.runFor(4s);
    CHECK_TRUE(world.replacePrimary() < 5s);
    CHECK_EQUAL(2U, world.fences.size());
    CHECK_TRUE(world.fences.back() > world.fences.front());
    CHECK_TRUE(world.violations.empty());
}

TEST(store_history_loss, fencesFollowTheEraBeforeTheRevision)
{
    CHECK_TRUE(fenceOf({store_era(1), store_revision(900)}) < fenceOf({store_era(2), store_revision(12)}));
    CHECK_TRUE(fenceOf({store_era(), store_revision(7)}) == fence_number(7));
}

TEST(store_history_loss, aPromotionThatAnotherInstanceOrderedBeforeTheLossIsGivenItsTime)
{
    ready_world world;
    const database_name old = world.primary().listed.name;
    world.promotionTime = 2500ms;
    world.primary().unresponsive = true;
    world.send(world.connect("latest"), client_verb::write, "x", "1");
    world.runFor(500ms);
    world.promoteFromOtherInstance(database_name("db-2"));
    world.loseStoreHistory();
    world.runFor(6s);
    CHECK_EQUAL(0U, world.fences.size());
    CHECK_TRUE(world.primary().listed.name == database_name("db-2"));
    CHECK_TRUE(old != world.primary().listed.name);
}

TEST(store_history_loss, aClaimThatWasReadBeforeTheLossIsNotUsed)
{
    ready_world world;
    world.primary().unresponsive = true;
    while (world.engine.groups.at(group_name("g")).failover.phase != failover_phase::writingClaim) {
        world.runFor(1ms);
    }
    world.loseStoreHistory();
    world.runFor(1s);
    CHECK_EQUAL(0U, world.fences.size());
    world.runFor(6s);
    CHECK_EQUAL(1U, world.fences.size());
}

TEST(store_history_loss, aHandOverThatHasBegunIsCompletedWithTheFenceOfItsClaim)
{
    ready_world world;
    world.replacedPrimariesContinue = true;
    world.engine.settings.replacedPrimariesStepDown = false;
    const database_name old = world.primary().listed.name;
    world.primary().listed.leaving = true;
    world.publishListing();
    while (world.engine.groups.at(group_name("g")).failover.phase != failover_phase::steppingDown) {
        world.runFor(1ms);
    }
    world.loseStoreHistory();
    world.runFor(2s);
    CHECK_EQUAL(1U, world.fences.size());
    CHECK_TRUE(world.fences.front() > 0);
    CHECK_TRUE(world.primary().listed.name != old);
}

TEST(store_history_loss, aVanishedClaimIsNoEvidenceForADatabaseThatWasNotSeenSince)
{
    std::map<database_name, database_state> databases;
    const database_name first("db-0");
    const database_name second("db-1");
    const time_point now{1000s};
    database_status status;
    status.primary = true;
    status.term = term_number(1);
    databases[first].status = status;
    databases[second].suspectedSince = now;
    databases[second].notPrimaryAt = now + 10s;
    primary_verification verification;
    verification.claimRequestedAt = now + 30s;
    const verification_view view{&databases, &verification};
    CHECK_TRUE(onlyPrimaryUntil(view, first) == now + 30s);
    verification.claimsCompleteFrom = now + 15s;
    CHECK_TRUE(onlyPrimaryUntil(view, first) == now + 10s);
    databases[second].notPrimaryAt = now + 16s;
    CHECK_TRUE(onlyPrimaryUntil(view, first) == now + 30s);
}

TEST(store_history_loss, aConfigurationThatTheStoreLostStaysInForce)
{
    ready_world world;
    world.configure(9);
    world.loseStoreHistory();
    world.configure(4);
    CHECK_EQUAL(9U, world.engine.routes.version.value());
    world.configure(10);
    CHECK_EQUAL(10U, world.engine.routes.version.value());
}

TEST(store_history_loss, anOlderEntryOfADatabaseChangesNothing)
{
    ready_world world;
    fake_database &replica = world.databases.at(database_name("db-1"));
    const listed_database older = replica.listed;
    replica.listed.sequence = 8;
    replica.listed.leaving = true;
    world.publishListing();
    world.loseStoreHistory();
    replica.listed = older;
    world.publishListing();
    const auto &known = world.engine.groups.at(group_name("g")).databases.at(database_name("db-1"));
    CHECK_TRUE(known.listed.leaving);
    replica.listed.sequence = 9;
    world.publishListing();
    CHECK_FALSE(known.listed.leaving);
}

TEST(store_history_loss, instancesWhoseEntriesAreLostStayUntilTheyHadTimeToWriteThemAgain)
{
    ready_world world;
    onInstances(world.engine, {instanceNamed("a"), instanceNamed("b"), instanceNamed("c")}, world.now);
    world.loseStoreHistory();
    onInstances(world.engine, {instanceNamed("a")}, world.now);
    CHECK_EQUAL(3U, world.engine.instances.size());
    world.runFor(500ms);
    onInstances(world.engine, {instanceNamed("a"), instanceNamed("b")}, world.now);
    world.runFor(3s);
    CHECK_EQUAL(2U, world.engine.instances.size());
}

TEST(store_history_loss, statementsAreServedWithoutAFailure)
{
    ready_world world;
    fake_client &client = world.connect("session");
    for (int step = 0; step < 60; ++step) {
        if (step == 20 || step == 30) {
            world.loseStoreHistory();
        }
        CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", std::to_string(step)).code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    }
    CHECK_TRUE(world.violations.empty());
}
