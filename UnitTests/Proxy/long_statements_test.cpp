#include "UnitTests/Proxy/relaying_world.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// A group whose statements take longer than the time after which a reply counts as overdue.
struct slow_world : proxy_world {
    slow_world()
        : proxy_world(7)
    {
        addGroup();
        configure(1);
        runFor(5s);
        for (auto &[name, database] : databases) {
            database.serviceTime = engine.settings.replyTimeout + 10ms;
        }
    }
};

void checkNoViolations(const proxy_world &world)
{
    CHECK_TRUE_TEXT(world.violations.empty(), world.violations.empty() ? "" : world.violations.front().c_str());
}

} // namespace

TEST_GROUP(long_statements){};

TEST(long_statements, aReadThatRunsLongerThanTheReplyTimeoutGetsItsAnswer)
{
    for (const char *route : {"age", "session", "latest"}) {
        slow_world world;
        fake_client &client = world.connect(route);
        CHECK_TRUE_TEXT(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done, route);
        checkNoViolations(world);
    }
}

TEST(long_statements, aLongReadTakesNoMoreThanTwoSlotsAtOnce)
{
    slow_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 900ms;
    }
    fake_client &client = world.connect("age");
    world.send(client, client_verb::read, "x");
    std::ptrdiff_t most = 0;
    for (int step = 0; step < 190; ++step) {
        world.runFor(5ms);
        most = std::max(most, std::ranges::count_if(world.engine.connections, [&](const auto &connection) {
                            return connection.second.session == client.id;
                        }));
    }
    CHECK_EQUAL(1, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    CHECK_TRUE(most <= 2);
    checkNoViolations(world);
}

TEST(long_statements, ofTwoOverdueRunsAtOneSuspectedDatabaseTheFirstGoesOn)
{
    slow_world world;
    world.primary().serviceTime = 900ms;
    fake_client &client = world.connect("latest");
    world.send(client, client_verb::read, "x");
    world.runFor(790ms);
    for (auto &[name, database] : world.engine.groups.at(group_name("g")).databases) {
        database.suspectedSince = world.now;
    }
    world.runFor(160ms);
    CHECK_EQUAL(1, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    checkNoViolations(world);
}

TEST(long_statements, aLongReadAtAHolderIsNotSentAwayForAPrimaryThatIsSuspectedMeanwhile)
{
    for (const char *route : {"age", "session", "latest"}) {
        relaying_world world;
        for (auto &[name, database] : world.databases) {
            database.serviceTime = 700ms;
        }
        fake_client &client = world.connectToEntry(route);
        CHECK_TRUE_TEXT(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done, route);
        checkNoViolations(world);
    }
}

TEST(long_statements, aHolderWhoseChannelsAllCarryLongWritesIsNotSuspected)
{
    relaying_world world;
    std::vector<fake_client *> clients;
    for (int index = 0; index < 40; ++index) {
        clients.push_back(&world.connectToEntry("latest"));
    }
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 850ms;
    }
    for (fake_client *client : clients) {
        world.send(*client, client_verb::write, "x", "1");
    }
    world.runFor(900ms);
    CHECK_EQUAL(0, world.reports["database_suspected"]);
    CHECK_EQUAL(0, world.reports["statement_in_doubt"]);
    CHECK_TRUE(std::ranges::any_of(clients, [](const fake_client *client) {
        return !client->replies.empty() && client->replies.back().reply.code == reply_code::done;
    }));
    checkNoViolations(world);
}

TEST(long_statements, aReplyDoesNotWaitForAQuestionThatWasSentBehindItsStatement)
{
    slow_world world;
    fake_client &client = world.connect("latest");
    world.send(client, client_verb::write, "x", "1");
    world.runFor(100ms);
    group_state &group = world.engine.groups.at(group_name("g"));
    database_state &primary = group.databases.at(*group.primary);
    for (database_connection_id id : primary.connections) {
        if (world.engine.connections.at(id).session == client.id) {
            proxying::sendProbe(world.engine, world.engine.connections.at(id), proxying::probe_request{.status = true}, world.now);
        }
    }
    world.databases.at(*group.primary).statusTime = 2s;
    world.performActions();
    world.runFor(400ms);
    CHECK_EQUAL(1, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    checkNoViolations(world);
}

TEST(long_statements, aConnectionThatWaitsForASlotOfALiveDatabaseIsNotGivenUpAndDoesNotMakeItSuspected)
{
    slow_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 300ms;
        database.openingTime = 1500ms;
    }
    std::vector<fake_client *> readers;
    for (int index = 0; index < 30; ++index) {
        readers.push_back(&world.connect("age"));
    }
    for (int round = 0; round < 300; ++round) {
        for (fake_client *reader : readers) {
            if (!reader->awaitsReply) {
                world.send(*reader, client_verb::read, "x");
            }
        }
        world.runFor(10ms);
    }
    CHECK_EQUAL(0, world.reports["database_suspected"]);
    const auto open = std::ranges::count_if(world.engine.connections, [](const auto &connection) {
        return connection.second.state != database_connection_state::opening;
    });
    CHECK_TRUE(open > 3);
    checkNoViolations(world);
}

TEST(long_statements, longReadsAtFreeDatabasesAreNotRefusedAsOverload)
{
    slow_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 300ms;
    }
    std::vector<fake_client *> readers;
    for (int index = 0; index < 12; ++index) {
        readers.push_back(&world.connect("age"));
    }
    std::size_t refused = 0;
    for (int round = 0; round < 800; ++round) {
        for (fake_client *reader : readers) {
            if (!reader->awaitsReply) {
                world.send(*reader, client_verb::read, "x");
            }
        }
        world.runFor(10ms);
    }
    for (fake_client *reader : readers) {
        refused += static_cast<std::size_t>(std::ranges::count_if(reader->replies, [](const statement_reply &reply) {
            return reply.reply.code != reply_code::done;
        }));
    }
    CHECK_EQUAL(0, refused);
    checkNoViolations(world);
}

TEST(long_statements, aPrimaryWithNothingButLongStatementsIsNotReplaced)
{
    slow_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 2s;
        database.openingTime = 2s;
    }
    std::vector<fake_client *> writers;
    for (int index = 0; index < 12; ++index) {
        writers.push_back(&world.connect("latest"));
    }
    for (int round = 0; round < 600; ++round) {
        for (fake_client *writer : writers) {
            if (!writer->awaitsReply) {
                world.send(*writer, client_verb::write, "x", "1");
            }
        }
        world.runFor(10ms);
    }
    CHECK_EQUAL(0, world.engine.counters.promotionOrders);
    checkNoViolations(world);
}

TEST(long_statements, aWriteAtAHolderThatStandsStillForAWhileIsNotGivenUp)
{
    relaying_world world;
    fake_client &client = world.connectToEntry("latest");
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "0").code == reply_code::done);
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 50ms;
    }
    world.send(client, client_verb::write, "x", "1");
    world.runFor(20ms);
    world.standStill();
    world.runFor(800ms);
    world.thaw();
    world.runFor(150ms);
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    checkNoViolations(world);
}

TEST(long_statements, boundedReadsAreServedByReplicasWhileThePrimaryIsAtWork)
{
    slow_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = database.primary ? 900ms : 20ms;
        database.openingTime = database.serviceTime;
    }
    std::vector<fake_client *> writers;
    for (int index = 0; index < 12; ++index) {
        writers.push_back(&world.connect("latest"));
    }
    fake_client &reader = world.connect("age");
    for (int round = 0; round < 400; ++round) {
        for (fake_client *writer : writers) {
            if (!writer->awaitsReply) {
                world.send(*writer, client_verb::write, "x", "1");
            }
        }
        if (!reader.awaitsReply) {
            world.send(reader, client_verb::read, "x");
        }
        world.runFor(10ms);
    }
    CHECK_TRUE(std::ranges::all_of(reader.replies, [](const statement_reply &reply) {
        return reply.reply.code == reply_code::done;
    }));
    checkNoViolations(world);
}
