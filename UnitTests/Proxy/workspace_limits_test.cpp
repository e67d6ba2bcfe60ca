#include "UnitTests/Proxy/proxy_world.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// One instance, alone in the list, with a workspace of 2 operations a second and a burst of 4.
struct limited_world : proxy_world {
    limited_world()
        : proxy_world(7)
    {
        engine.settings.limits.self = instance_name("i-1");
        engine.limits = limit_engine(engine.settings.limits);
        setWorkspaces({"red key-r", "blue key-b"});
        workspaces.workspaces.at(workspace_name("red")).limit = workspace_limit{2, 4};
        addGroup();
        configure(1);
        onInstances(engine, {{instance_name("i-1"), "10.0.0.1:1", "z", 1, false}}, now);
        // What an earlier process was granted has lapsed, and the bucket has been filled.
        runFor(15s);
        CHECK_EQUAL(1, engine.limits.ownership.owned);
    }
};

int served(proxy_world &world, fake_client &client, client_verb verb, int count)
{
    int done = 0;
    for (int number = 0; number < count; ++number) {
        done += world.sendAndWait(client, verb, "x", "1").code == reply_code::done ? 1 : 0;
    }
    return done;
}

} // namespace

TEST_GROUP(workspace_limits){};

TEST(workspace_limits, beyondTheLimitStatementsAreRefusedAsNotRunWithTheTimeToComeBack)
{
    limited_world world;
    fake_client &client = world.connect("latest", "key-r");
    const int done = served(world, client, client_verb::read, 60);
    // The burst with what is added to it, and what comes while the statements run.
    CHECK_TRUE(done >= 4 && done <= 14);
    const client_reply &refusal = client.replies.back().reply;
    CHECK_TRUE(refusal.code == reply_code::busy);
    CHECK_TRUE(refusal.retryAfter > 0ms && refusal.retryAfter <= 500ms);
    world.runFor(refusal.retryAfter + 1ms);
    CHECK_EQUAL(1, served(world, client, client_verb::read, 1));
    CHECK_EQUAL(60 - done, static_cast<int>(world.engine.counters.refusals));
}

TEST(workspace_limits, otherWorkspacesAreNotLimited)
{
    limited_world world;
    fake_client &red = world.connect("latest", "key-r");
    served(world, red, client_verb::read, 40);
    fake_client &blue = world.connect("latest", "key-b");
    CHECK_EQUAL(40, served(world, blue, client_verb::read, 40));
    fake_client &anyone = world.connect("open", "");
    CHECK_EQUAL(40, served(world, anyone, client_verb::read, 40));
}

TEST(workspace_limits, aTransactionIsOneOperation)
{
    limited_world world;
    fake_client &client = world.connect("latest", "key-r");
    const std::uint64_t before = world.engine.limits.spender.uses[workspace_name("red")].operations;
    CHECK_EQUAL(1, served(world, client, client_verb::begin, 1));
    CHECK_EQUAL(12, served(world, client, client_verb::read, 12));
    CHECK_EQUAL(1, served(world, client, client_verb::commit, 1));
    CHECK_EQUAL(before + 1, world.engine.limits.spender.uses[workspace_name("red")].operations);
}

TEST(workspace_limits, aTransactionBeyondTheLimitIsRefusedWithItsFirstStatement)
{
    limited_world world;
    fake_client &client = world.connect("latest", "key-r");
    served(world, client, client_verb::read, 40);
    world.sendAndWait(client, client_verb::begin, "x", "1");
    const client_reply reply = world.sendAndWait(client, client_verb::read, "x", "1");
    CHECK_TRUE(reply.code == reply_code::busy);
    CHECK_TRUE(reply.state == transaction_state::failed);
}

TEST(workspace_limits, aLimitIsReportedOnceForASpanOfRefusals)
{
    limited_world world;
    fake_client &client = world.connect("latest", "key-r");
    served(world, client, client_verb::read, 60);
    world.runFor(5s);
    CHECK_EQUAL(1, world.reports["limit_reached"]);
    CHECK_EQUAL(1, world.reports["limit_ended"]);
}

TEST(workspace_limits, aStatementWaitsForATokenThatComesSoon)
{
    limited_world world;
    world.workspaces.workspaces.at(workspace_name("red")).limit = workspace_limit{20, 2};
    world.configure(2);
    world.runFor(6s);
    fake_client &client = world.connect("latest", "key-r");
    // A token comes each 50 ms, which is less than a fifth of the latency target of 600 ms.
    CHECK_EQUAL(60, served(world, client, client_verb::read, 60));
    CHECK_EQUAL(0U, world.engine.counters.refusals);
}

TEST(workspace_limits, aRelayedStatementThatWaitsForATokenIsNotSentOnForLackOfThePrimary)
{
    // After a loss of all power, the statements that waited for tokens went round all holders until they were refused.
    limited_world world;
    // The list names another instance as the pool, which does not reply.
    world.addEntry(1);
    world.runFor(5s);
    fake_client &client = world.connectToEntry("latest", "key-r");
    world.send(client, client_verb::write, "x", "1");
    world.runFor(600ms);
    CHECK_EQUAL(0U, world.engine.counters.refusalsByCause["the primary is out of reach from here"]);
}

TEST(workspace_limits, allRunsOfLongReadsAtDatabasesAreWithinTheLimit)
{
    limited_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 900ms;
    }
    std::vector<fake_client *> clients;
    for (int number = 0; number < 20; ++number) {
        clients.push_back(&world.connect("age", "key-r"));
        world.send(*clients.back(), client_verb::read, "x");
    }
    world.runFor(1100ms);
    // The same bound as for statements that run once.
    const auto runs = world.engine.counters.workspaces.byName.find(workspace_name("red"))->second.operations;
    CHECK_TRUE(runs <= 14);
    const auto done = std::ranges::count_if(clients, [](const fake_client *client) {
        return client->replies.back().reply.code == reply_code::done;
    });
    CHECK_TRUE(done >= 4);
    CHECK_TRUE(world.violations.empty());
}
