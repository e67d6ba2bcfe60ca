#include "UnitTests/Proxy/proxy_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

struct refusing_world : proxy_world {
    refusing_world()
        : proxy_world(1)
    {
        addGroup();
        configure(1);
        runFor(5s);
    }
    void checkAcknowledgedWrites()
    {
        const std::map<std::string, int> kept = committed();
        for (const acknowledged_commit &commit : acknowledged) {
            CHECK_TRUE_TEXT(kept.contains(commit.id), (commit.id + " was acknowledged and is not committed").c_str());
        }
        for (const std::string &violation : violations) {
            FAIL(violation.c_str());
        }
    }
};

} // namespace

TEST_GROUP(left_open_transaction){};

// Guards against writes that are acknowledged inside another client's transaction, whose ROLLBACK was refused, and are lost with it.
TEST(left_open_transaction, aConnectionWhoseRollbackWasRefusedIsNotUsedAgain)
{
    refusing_world world;
    fake_client &leaver = world.connect("session");
    world.sendAndWait(leaver, client_verb::begin);
    world.sendAndWait(leaver, client_verb::write, "x", "1", true);
    world.primary().refusesRollback = true;
    world.sendAndWait(leaver, client_verb::rollback);
    fake_client &writer = world.connect("session");
    for (int count = 0; count < 20; ++count) {
        world.sendAndWait(writer, client_verb::write, "y", "2", true);
    }
    world.primary().refusesRollback = false;
    world.runFor(2s);
    world.checkAcknowledgedWrites();
    CHECK_TRUE(world.acknowledged.size() >= 20);
    CHECK_TRUE(world.reports["transaction_left_open"] > 0);
}
