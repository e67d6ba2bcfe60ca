#include "UnitTests/Proxy/proxy_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

std::uint64_t operationsOf(const proxy_engine &engine, const char *workspace)
{
    const auto found = engine.counters.workspaces.byName.find(workspace_name(workspace));
    return found == engine.counters.workspaces.byName.end() ? 0 : found->second.operations;
}

reply_code send(proxy_world &world, fake_client &client, client_verb verb)
{
    return world.sendAndWait(client, verb, "x", "1").code;
}

/// Runs a read, a write, a transaction of two statements and a statement that no database sees: three operations.
void runThreeOperations(proxy_world &world, fake_client &client)
{
    for (const client_verb verb : {client_verb::read,
                                   client_verb::write,
                                   client_verb::begin,
                                   client_verb::read,
                                   client_verb::write,
                                   client_verb::commit,
                                   client_verb::setValue}) {
        CHECK_TRUE(send(world, client, verb) == reply_code::done);
    }
}

} // namespace

TEST_GROUP(workspace_counters)
{
    proxy_world world{7};

    void start()
    {
        world.setWorkspaces({"red key-r", "blue key-b"});
        world.addGroup();
        world.configure(1);
    }
};

TEST(workspace_counters, aTransactionIsOneOperationOfItsWorkspace)
{
    start();
    world.runFor(3s);
    runThreeOperations(world, world.connect("latest", "key-r"));
    CHECK_EQUAL(3U, operationsOf(world.engine, "red"));
    CHECK_EQUAL(0U, operationsOf(world.engine, "blue"));
    CHECK_EQUAL(1U, world.engine.counters.workspaces.byName.size());
}

TEST(workspace_counters, aRelayedOperationIsCountedByTheHolderOnly)
{
    start();
    world.addEntry(1);
    world.runFor(3s);
    runThreeOperations(world, world.connectToEntry("latest", "key-r"));
    CHECK_EQUAL(3U, operationsOf(world.engine, "red"));
    CHECK_EQUAL(0U, operationsOf(*world.entry, "red"));
    CHECK_EQUAL(3U, world.entry->counters.statementsRelayed);
}

TEST(workspace_counters, nothingIsCountedWithoutWorkspaces)
{
    world.addGroup();
    world.configure(1);
    world.runFor(3s);
    runThreeOperations(world, world.connect("latest", "any-key"));
    CHECK_TRUE(world.engine.counters.workspaces.byName.empty());
}

TEST(workspace_counters, aSessionWhoseKeyWasWithdrawnIsARefusalOfItsWorkspace)
{
    start();
    world.runFor(3s);
    fake_client &client = world.connect("latest", "key-r");
    runThreeOperations(world, client);
    world.setWorkspaces({"red", "blue key-b"});
    world.configure(2);
    CHECK_TRUE(send(world, client, client_verb::read) == reply_code::unauthorized);
    const workspace_usage &red = world.engine.counters.workspaces.byName.at(workspace_name("red"));
    CHECK_EQUAL(3U, red.operations);
    CHECK_EQUAL(1U, red.refusalsByReason.at("the key was withdrawn"));
}

TEST(workspace_counters, aRefusalByTheLimitIsCountedWithItsReason)
{
    world.setWorkspaces({"red key-r", "blue key-b"});
    world.workspaces.workspaces.at(workspace_name("red")).limit = workspace_limit{1, 1};
    world.addGroup();
    world.configure(1);
    const instance_name self("instance-1");
    world.engine.limits.settings.self = self;
    onInstances(world.engine, instance_listing{{self, "10.0.0.1:1", "dc-0", 1, false}}, world.now);
    world.runFor(10s);
    fake_client &client = world.connect("latest", "key-r");
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    for (int count = 0; count < 200; ++count) {
        const reply_code code = send(world, client, client_verb::read);
        served += code == reply_code::done ? 1 : 0;
        refused += code == reply_code::busy ? 1 : 0;
    }
    CHECK_EQUAL(200U, served + refused);
    CHECK_TRUE(refused > 0);
    const workspace_usage &red = world.engine.counters.workspaces.byName.at(workspace_name("red"));
    CHECK_EQUAL(served, red.operations);
    CHECK_EQUAL(refused, red.refusalsByReason.at("the limit of the workspace is reached"));
    CHECK_EQUAL(1U, red.refusalsByReason.size());
}

TEST(workspace_counters, aWorkspaceThatIsRemovedIsForgotten)
{
    start();
    world.runFor(3s);
    runThreeOperations(world, world.connect("latest", "key-r"));
    world.setWorkspaces({"blue key-b"});
    world.configure(2);
    CHECK_TRUE(world.engine.counters.workspaces.byName.empty());
    CHECK_EQUAL(3U, world.engine.counters.workspaces.former.operations);
}
