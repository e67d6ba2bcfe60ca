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

// Guards against statements that run with another session's values, or in a transaction of the instance's own, since they were sent
// before the refusal of what they rested on had arrived.
TEST(left_open_transaction, noStatementRestsOnAValueOrARollbackThatWasRefused)
{
    refusing_world world;
    std::vector<fake_client *> clients;
    for (int number = 0; number < 12; ++number) {
        clients.push_back(&world.connect(number % 2 == 0 ? "latest" : "session"));
        world.sendAndWait(*clients.back(), client_verb::setValue, "desk", std::to_string(number));
    }
    for (auto &[name, database] : world.databases) {
        database.refusalPercent = 40;
    }
    for (int count = 0; count < 40; ++count) {
        for (fake_client *client : clients) {
            if (!client->awaitsReply) {
                world.send(*client, count % 3 == 0 ? client_verb::write : client_verb::read, "x", "1", count % 3 == 0);
            }
        }
        world.runFor(100ms);
    }
    for (auto &[name, database] : world.databases) {
        database.refusalPercent = 0;
    }
    world.runFor(2s);
    world.checkAcknowledgedWrites();
    CHECK_TRUE(world.reports["setup_refused"] > 0);
    for (fake_client *client : clients) {
        CHECK_TRUE(world.sendAndWait(*client, client_verb::write, "x", "2", true).code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(*client, client_verb::read, "x").code == reply_code::done);
    }
    world.checkAcknowledgedWrites();
}

TEST(left_open_transaction, aValueSetInsideATransactionIsThereBeforeTheNextStatement)
{
    refusing_world world;
    fake_client &client = world.connect("latest");
    for (unsigned percent : {0U, 40U}) {
        world.sendAndWait(client, client_verb::setValue, "desk", "1");
        world.sendAndWait(client, client_verb::begin);
        const reply_code first = world.sendAndWait(client, client_verb::write, "x", "1", true).code;
        CHECK_TRUE(first == reply_code::done);
        world.primary().refusalPercent = percent;
        world.sendAndWait(client, client_verb::setValue, "desk", "2");
        world.sendAndWait(client, client_verb::read, "x");
        world.primary().refusalPercent = 0;
        const client_verb end = client.replies.back().reply.state == transaction_state::open ? client_verb::commit : client_verb::rollback;
        world.sendAndWait(client, end);
        world.runFor(1s);
    }
    world.checkAcknowledgedWrites();
}

TEST(left_open_transaction, aPrimaryThatDoesNotReplyToAPreparationIsSuspectedInTheTimeOfAStatement)
{
    refusing_world world;
    fake_client &client = world.connect("latest");
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    world.runFor(1s);
    world.primary().unresponsive = true;
    world.send(client, client_verb::read, "x");
    world.runFor(500ms);
    const group_state &group = world.engine.groups.at(group_name("g"));
    CHECK_TRUE(group.databases.at(database_name("db-0")).suspectedSince != time_point{});
    world.runFor(3s);
    CHECK_FALSE(world.databases.at(database_name("db-0")).primary);
}
