#include "UnitTests/Proxy/relaying_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

/// Routes that move between groups while replicas lag: a session's own commits count in the log of their group alone.
namespace
{

const group_name firstGroup("g");
const group_name secondGroup("h");

void checkNoViolations(const proxy_world &world)
{
    CHECK_TRUE_TEXT(world.violations.empty(), world.violations.empty() ? "" : world.violations.front().c_str());
}

/// A simulation with two groups; all routes lead to the first one.
struct two_group_world : proxy_world {
    explicit two_group_world(bool relays = false)
        : proxy_world(7)
    {
        addGroup();
        addGroup("h", "other-");
        // Replicas are the nearest databases, so that reads go there if they may.
        for (auto &[name, database] : databases) {
            database.networkDelay = database.primary ? 20ms : 1ms;
        }
        // Both groups are in the configuration from the start.
        groupByRoute["open"] = secondGroup;
        configure(1);
        if (relays) {
            addEntry(1);
        }
        lastVersion = engine.routes.version.value();
        runFor(3s);
    }

    void moveRoutes(const group_name &group)
    {
        for (const char *name : {"latest", "session", "age"}) {
            groupByRoute[name] = group;
        }
        lastVersion += 1;
    }

    void moveEverywhere(const group_name &group)
    {
        moveRoutes(group);
        configure(lastVersion);
    }

    void setLag(const group_name &group, duration lag)
    {
        for (auto &[name, database] : databases) {
            if (database.listed.group == group) {
                database.lag = lag;
            }
        }
    }

    void fillLog(const group_name &group, int commits)
    {
        for (int index = 0; index < commits; ++index) {
            writeFromOtherInstance(group);
        }
        runFor(100ms);
    }
};

void checkDone(proxy_world &world, fake_client &client, client_verb verb)
{
    CHECK_TRUE(world.sendAndWait(client, verb, "x", "1").code == reply_code::done);
}

} // namespace

TEST_GROUP(route_move){};

TEST(route_move, aSessionSeesItsCommitsAfterItsRouteHasMovedToAShorterLogAndBack)
{
    // The lower position at the second group took the place of the first one's.
    for (const bool relays : {false, true}) {
        for (const client_verb between : {client_verb::read, client_verb::write}) {
            two_group_world world(relays);
            world.fillLog(firstGroup, 20);
            fake_client &client = relays ? world.connectToEntry("session") : world.connect("session");
            world.setLag(firstGroup, 1500ms);
            // An older position of the primary is known, and allows reads without the session's own commit.
            checkDone(world, client, client_verb::read);
            checkDone(world, client, client_verb::write);
            world.moveEverywhere(secondGroup);
            checkDone(world, client, between);
            checkDone(world, client, client_verb::read);
            world.moveEverywhere(firstGroup);
            for (int reads = 0; reads < 10; ++reads) {
                checkDone(world, client, client_verb::read);
            }
            checkNoViolations(world);
        }
    }
}

TEST(route_move, aLongerLogOfAnotherGroupDoesNotKeepASessionFromReplicas)
{
    // The higher position at the second group sent all later reads to the primary.
    two_group_world world;
    world.fillLog(secondGroup, 50);
    fake_client &client = world.connect("session");
    checkDone(world, client, client_verb::write);
    world.moveEverywhere(secondGroup);
    checkDone(world, client, client_verb::write);
    world.moveEverywhere(firstGroup);
    world.runFor(1s);
    const std::uint64_t before = world.engine.counters.primaryReads;
    for (int reads = 0; reads < 20; ++reads) {
        checkDone(world, client, client_verb::read);
    }
    CHECK_TRUE(world.engine.counters.primaryReads - before < 20);
    CHECK_EQUAL(0, world.reports["replica_lags"]);
    checkNoViolations(world);
}

TEST(route_move, aCommitOfATransactionThatBeganBeforeTheMoveCountsInItsOwnGroup)
{
    for (const bool relays : {false, true}) {
        two_group_world world(relays);
        world.fillLog(firstGroup, 20);
        fake_client &client = relays ? world.connectToEntry("session") : world.connect("session");
        world.setLag(firstGroup, 1500ms);
        checkDone(world, client, client_verb::begin);
        checkDone(world, client, client_verb::write);
        world.moveEverywhere(secondGroup);
        checkDone(world, client, client_verb::commit);
        checkDone(world, client, client_verb::read);
        world.moveEverywhere(firstGroup);
        for (int reads = 0; reads < 10; ++reads) {
            checkDone(world, client, client_verb::read);
        }
        checkNoViolations(world);
    }
}

TEST(route_move, aStatementThatPausesWhileItsRouteMovesIsServedOnceThePauseIsOver)
{
    // The timer of the pause belonged to the group before, and nothing else happened in the new one.
    two_group_world world;
    fake_client &client = world.connect("session");
    world.moveEverywhere(secondGroup);
    checkDone(world, client, client_verb::write);
    world.moveEverywhere(firstGroup);
    checkDone(world, client, client_verb::write);
    for (auto &[name, database] : world.databases) {
        database.full = database.listed.group == firstGroup;
    }
    world.send(client, client_verb::write, "x", "2");
    world.runFor(50ms);
    world.moveEverywhere(secondGroup);
    world.runFor(500ms);
    CHECK_EQUAL(3, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
}
