#include "UnitTests/Proxy/relaying_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

/// What a channel remembers of a client at the holder: values, prepared names, its transaction, its floor.
namespace
{

std::size_t countReplies(const fake_client &client, reply_code code)
{
    return static_cast<std::size_t>(std::ranges::count_if(client.replies, [&](const statement_reply &reply) {
        return reply.reply.code == code;
    }));
}

void checkNoViolations(const proxy_world &world)
{
    CHECK_TRUE_TEXT(world.violations.empty(), world.violations.empty() ? "" : world.violations.front().c_str());
}

/// The holder is to stop, stands still just before its timers close the idle channels, and thaws after `standsStillFor`; the client
/// has sent its statement to a channel that has its values in the meantime.
void sendWhileTheHolderStandsStill(relaying_world &world, const std::function<void()> &sendStatements, duration standsStillFor)
{
    onStop(world.engine, world.now);
    world.performActions();
    world.runFor(world.engine.settings.sessionCloseDelay / 2);
    world.standStill();
    sendStatements();
    world.runFor(standsStillFor);
    world.thaw();
    world.runFor(1500ms);
}

const std::vector<duration> standstills{150ms, 390ms, 600ms, 2500ms};

} // namespace

TEST_GROUP(relayed_state){};

TEST(relayed_state, aStatementThatAHolderReadsAfterItHasClosedTheChannelDoesNotRunWithoutItsValues)
{
    // Further-grown site, seed 71: three holders that thawed ran one read without its client's values within 80 ms.
    for (const duration standsStillFor : standstills) {
        for (const client_verb verb : {client_verb::read, client_verb::write}) {
            relaying_world world;
            world.engine.settings.sessionCloseJitter = 1ms;
            fake_client &client = world.connectToEntry("session");
            world.sendAndWait(client, client_verb::setValue, "a", "1");
            CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
            sendWhileTheHolderStandsStill(
                world,
                [&] {
                    world.send(client, verb, "x", "2");
                },
                standsStillFor);
            CHECK_EQUAL(1, client.replies.size() - 2);
            checkNoViolations(world);
            world.checkRefusedNotCommitted();
            checkNoViolations(world);
        }
    }
}

TEST(relayed_state, aPreparedNameIsKnownOrTheStatementDoesNotRun)
{
    for (const duration standsStillFor : standstills) {
        for (const bool writes : {false, true}) {
            relaying_world world;
            world.engine.settings.sessionCloseJitter = 1ms;
            fake_client &client = world.connectToEntry("session");
            world.sendAndWait(client, client_verb::prepare, "s", "shape", writes);
            CHECK_TRUE(world.sendAndWait(client, client_verb::execute, "s", "x").code == reply_code::done);
            sendWhileTheHolderStandsStill(
                world,
                [&] {
                    world.send(client, client_verb::execute, "s", "y");
                },
                standsStillFor);
            CHECK_EQUAL(3, client.replies.size());
            CHECK_EQUAL(0, countReplies(client, reply_code::unknownStatement));
            checkNoViolations(world);
        }
    }
}

TEST(relayed_state, aStatementThatAStoppingHolderHasNotHandledRunsElsewhereAlsoAWrite)
{
    relaying_world world;
    world.relayDelay = 20ms;
    fake_client &client = world.connectToEntry("session");
    world.sendAndWait(client, client_verb::setValue, "a", "1");
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    onStop(world.engine, world.now);
    world.performActions();
    // Each write arrives just when the holder has closed the channel.
    for (int writes = 0; writes < 40; ++writes) {
        CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", std::to_string(writes)).code == reply_code::done);
        world.runFor(duration(writes * 500));
    }
    CHECK_EQUAL(0, world.entry->counters.inDoubt);
    checkNoViolations(world);
}

TEST(relayed_state, aTransactionIsNeverContinuedOutsideOfIt)
{
    for (const client_verb verb : {client_verb::read, client_verb::write, client_verb::commit}) {
        for (const bool wrote : {false, true}) {
            relaying_world world;
            fake_client &client = world.connectToEntry("latest");
            world.sendAndWait(client, client_verb::setValue, "a", "1");
            world.sendAndWait(client, client_verb::begin);
            const client_verb first = wrote ? client_verb::write : client_verb::read;
            CHECK_TRUE(world.sendAndWait(client, first, "x", "1").code == reply_code::done);
            world.standStill();
            world.send(client, verb, "x", "2");
            world.runFor(10ms);
            // The holder ends the session before it reads the statement.
            world.closeRelayedSessions();
            world.thaw();
            world.runFor(100ms);
            // Nothing of it is kept, and that is known.
            CHECK_EQUAL(1, countReplies(client, reply_code::aborted));
            CHECK_EQUAL(0, countReplies(client, reply_code::inDoubt));
            world.runFor(3s);
            checkNoViolations(world);
            world.checkRefusedNotCommitted();
            checkNoViolations(world);
        }
    }
}

TEST(relayed_state, aTransactionWhoseFirstStatementWasNotHandledBeginsElsewhere)
{
    relaying_world world;
    fake_client &client = world.connectToEntry("latest");
    world.sendAndWait(client, client_verb::setValue, "a", "1");
    world.sendAndWait(client, client_verb::begin);
    world.runFor(100ms);
    world.standStill();
    world.send(client, client_verb::write, "x", "1");
    world.runFor(10ms);
    world.closeRelayedSessions();
    world.thaw();
    world.runFor(500ms);
    CHECK_EQUAL(0, countReplies(client, reply_code::aborted));
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::done);
    CHECK_EQUAL(1, world.committed().count(client.sent.id));
    checkNoViolations(world);
}

TEST(relayed_state, aHolderThatOpensNoChannelsGetsNoMoreWorkAndWhatItHasNotTakenRunsElsewhere)
{
    relaying_world world;
    fake_client &client = world.connectToEntry("latest");
    world.sendAndWait(client, client_verb::setValue, "a", "1");
    world.refusesNewChannels = true;
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    CHECK_EQUAL(1, world.entry->counters.relayedNotHandled);
    // It has its own connections now.
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::done);
    CHECK_EQUAL(1, world.entry->counters.relayedNotHandled);
    world.refusesNewChannels = false;
    world.runFor(2s);
    const std::uint64_t relayed = world.entry->counters.statementsRelayed;
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "3").code == reply_code::done);
    CHECK_EQUAL(relayed + 1, world.entry->counters.statementsRelayed);
    onHolderCloses(*world.entry, "10.1.0.1:2", world.now);
    world.performActions();
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "4").code == reply_code::done);
    CHECK_EQUAL(relayed + 1, world.entry->counters.statementsRelayed);
    CHECK_TRUE(world.groupAtEntry().holders.begin()->second.suspectedSince == time_point{});
    checkNoViolations(world);
}

TEST(relayed_state, aHolderThatStopsUnderLoadLosesNothingAndMixesNothing)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        relaying_world world(seed);
        world.relayDelay = duration(static_cast<std::int64_t>(1000 + seed * 1500));
        std::vector<fake_client *> crowd;
        for (int index = 0; index < 10; ++index) {
            fake_client &client = world.connectToEntry(index % 3 == 0 ? "latest" : index % 3 == 1 ? "session" : "age");
            world.sendAndWait(client, client_verb::setValue, "a", std::to_string(index));
            world.sendAndWait(client, client_verb::prepare, "r", "read" + std::to_string(index), false);
            world.sendAndWait(client, client_verb::prepare, "w", "write" + std::to_string(index), true);
            CHECK_TRUE(world.sendAndWait(client, client_verb::execute, "r", "x").code == reply_code::done);
            crowd.push_back(&client);
        }
        onStop(world.engine, world.now);
        world.performActions();
        for (int step = 0; step < 900; ++step) {
            for (fake_client *client : crowd) {
                if (client->awaitsReply || world.random() % 5 != 0) {
                    continue;
                }
                if (client->inTransaction) {
                    const client_verb verbs[]{client_verb::read, client_verb::write, client_verb::execute, client_verb::commit};
                    const client_verb verb = verbs[world.random() % 4];
                    world.send(*client, verb, verb == client_verb::execute ? "w" : "x", "1");
                } else {
                    const client_verb verbs[]{client_verb::read, client_verb::write, client_verb::execute, client_verb::begin};
                    const client_verb verb = verbs[world.random() % 4];
                    world.send(*client, verb, verb == client_verb::execute ? (world.random() % 2 == 0 ? "r" : "w") : "x", "1");
                }
            }
            world.runFor(5ms);
        }
        world.runFor(3s);
        CHECK_EQUAL(0, world.entry->counters.inDoubt);
        checkNoViolations(world);
        world.checkRefusedNotCommitted();
        checkNoViolations(world);
    }
}
