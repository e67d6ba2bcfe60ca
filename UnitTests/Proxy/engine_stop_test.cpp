#include "UnitTests/Proxy/relaying_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// An instance that was asked to stop and whose time is nearly over.
struct stopping_world : proxy_world {
    stopping_world()
        : proxy_world(7)
    {
        addGroup();
        configure(1);
        runFor(5s);
        for (auto &[name, database] : databases) {
            database.serviceTime = 10s;
        }
        onStop(engine, now);
        performActions();
    }

    void finish()
    {
        finishStop(engine, now);
        performActions();
    }
};

reply_code lastCode(const fake_client &client)
{
    return client.replies.empty() ? reply_code::done : client.replies.back().reply.code;
}

} // namespace

TEST_GROUP(engine_stop){};

TEST(engine_stop, eachUnansweredStatementIsToldWhetherItMayHaveRun)
{
    stopping_world world;
    fake_client &reader = world.connect("age");
    fake_client &writer = world.connect("session");
    world.send(reader, client_verb::read, "x");
    world.send(writer, client_verb::write, "x", "1");
    world.runFor(200ms);
    world.finish();
    CHECK_TRUE(lastCode(reader) == reply_code::aborted);
    CHECK_TRUE(lastCode(writer) == reply_code::inDoubt);
    CHECK_TRUE(reader.closed && writer.closed);
    CHECK_TRUE(world.engine.sessions.empty());
    world.runFor(11s);
    world.checkRefusedNotCommitted();
    CHECK_TRUE(world.violations.empty());
}

TEST(engine_stop, aCommitWithoutAnAnswerIsInDoubtAndOtherStatementsOfTransactionsAreAborted)
{
    stopping_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 5ms;
    }
    fake_client &committer = world.connect("latest");
    fake_client &reader = world.connect("latest");
    world.sendAndWait(committer, client_verb::begin);
    world.sendAndWait(committer, client_verb::write, "x", "1");
    world.sendAndWait(reader, client_verb::begin);
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 10s;
    }
    world.send(committer, client_verb::commit);
    world.send(reader, client_verb::read, "x");
    world.runFor(200ms);
    world.finish();
    CHECK_TRUE(lastCode(committer) == reply_code::inDoubt);
    CHECK_TRUE(committer.replies.back().reply.state == transaction_state::none);
    CHECK_TRUE(lastCode(reader) == reply_code::aborted);
}

TEST(engine_stop, aStatementThatWaitsForAConnectionIsRefused)
{
    proxy_world world(7);
    world.configure(1);
    onStop(world.engine, world.now);
    fake_client &waiting = world.connect("latest");
    world.send(waiting, client_verb::write, "x", "1");
    world.runFor(100ms);
    finishStop(world.engine, world.now);
    world.performActions();
    CHECK_TRUE(lastCode(waiting) == reply_code::busy);
    CHECK_TRUE(waiting.closed);
}

TEST(engine_stop, statementsBehindAnUnansweredOneAreAnsweredToo)
{
    stopping_world world;
    fake_client &client = world.connect("age");
    world.send(client, client_verb::read, "x");
    world.send(client, client_verb::write, "x", "1");
    world.send(client, client_verb::begin);
    world.send(client, client_verb::write, "x", "2");
    world.send(client, client_verb::commit);
    world.runFor(100ms);
    world.finish();
    CHECK_EQUAL(5, client.replies.size());
    CHECK_TRUE(client.closed);
    world.runFor(11s);
    CHECK_TRUE(world.committed().empty());
}

TEST(engine_stop, aSessionThatWasNotAcceptedIsRefusedBeforeTheEnd)
{
    proxy_world world(7);
    onStop(world.engine, world.now);
    fake_client &early = world.connect("age");
    CHECK_FALSE(early.accepted);
    finishStop(world.engine, world.now);
    world.performActions();
    CHECK_TRUE(early.closed);
    CHECK_TRUE(early.closedWith == reply_code::busy);
}

TEST(engine_stop, aStatementThatCrossesTheCloseOfItsSessionIsToldThatItDidNotRun)
{
    stopping_world world;
    fake_client &client = world.connect("session");
    for (int step = 0; step < 3000 && !client.closed; ++step) {
        world.runFor(1ms);
    }
    CHECK_TRUE(client.closedWith == reply_code::busy);
    world.send(client, client_verb::write, "x", "1");
    world.runFor(12s);
    CHECK_TRUE(world.committed().empty());
}

TEST(engine_stop, aRelayedReadOfAHolderThatStopsIsAskedElsewhereByItsEntry)
{
    relaying_world world;
    for (auto &[name, database] : world.databases) {
        database.serviceTime = 300ms;
    }
    fake_client &reader = world.connectToEntry("age");
    world.send(reader, client_verb::read, "x");
    world.runFor(100ms);
    CHECK_EQUAL(1, world.entry->counters.statementsRelayed);
    onStop(world.engine, world.now);
    finishStop(world.engine, world.now);
    world.refusesNewChannels = true;
    world.performActions();
    world.runFor(900ms);
    CHECK_EQUAL(1, reader.replies.size());
    CHECK_TRUE(lastCode(reader) == reply_code::done);
    CHECK_TRUE(world.violations.empty());
}

TEST(engine_stop, aRelayedStatementThatAHolderTakesTooLateIsRefusedSoThatItsEntryRunsItElsewhere)
{
    stopping_world world;
    const session_id channel(500);
    world.runFor(world.engine.settings.statementDrainTimeout);
    onRelayedSessionStarted(world.engine, channel, world.now);
    client_statement write;
    write.id = "q";
    write.verb = client_verb::write;
    write.text = "WRITE x 1";
    onRelayedStatement(world.engine, channel, "latest", 500ms, std::nullopt, write, world.now);
    const auto *answer = world.engine.actions.empty() ? nullptr : std::get_if<reply_to_client>(&world.engine.actions.back());
    CHECK_TRUE(answer != nullptr && answer->reply.code == reply_code::misrouted);
}
