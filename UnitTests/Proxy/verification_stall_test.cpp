#include "UnitTests/Proxy/commit_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(verification_stall){};

// Guards against acknowledgements of a replaced primary's commits by an instance whose list lacks the successor.
TEST(verification_stall, aReplacedPrimaryIsNotTrustedWhereTheSuccessorIsNotListedYet)
{
    commit_world world({.instances = 4, .syncReplicas = 0, .fenced = false, .seed = 3});
    world.runFor(2s);
    world.listAge[2] = 3s;
    world.listAge[3] = 3s;
    world.join("i-0n");
    world.runFor(150ms);
    world.member("i-1a").cutFrom = {0, 1};
    for (const char *name : {"i-0n", "i-2b", "i-3c"}) {
        world.member(name).deaf = true;
    }
    while (world.promotions == 0) {
        world.runFor(1ms);
    }
    for (const char *name : {"i-0n", "i-2b", "i-3c"}) {
        world.member(name).deaf = false;
    }
    // The old primary does not reach the new one yet.
    world.member("i-1a").deaf = true;
    world.runFor(2500ms);
    CHECK_TRUE(world.leader() == &world.member("i-0n"));
    CHECK_EQUAL(0U, world.acknowledgedOfReplaced.size());
    world.member("i-1a").cutFrom.clear();
    world.member("i-1a").deaf = false;
    world.runFor(6s);
    CHECK_TRUE(world.acknowledgedWithin(2s) > 10);
}

// Guards against replies that are held for ever for the evidence on a database that has left the list.
TEST(verification_stall, writesGoOnAfterADatabaseWithoutEvidenceHasLeftTheList)
{
    commit_world world({.syncReplicas = 0, .fenced = false, .ordersLateBy = 2500ms, .seed = 2});
    world.runFor(2s);
    world.drain("i-2b");
    world.runFor(2500ms);
    world.crash("i-1a");
    world.runFor(11500ms);
    CHECK_TRUE(world.acknowledgedWithin(2s) > 10);
}
