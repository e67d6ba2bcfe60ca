#include "UnitTests/Proxy/commit_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(verification_stall){};

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
