#include "UnitTests/Proxy/proxy_world.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// A simulation with one group, configured and with open connections.
struct ready_world : proxy_world {
    ready_world()
        : proxy_world(7)
    {
        addGroup();
        configure(1);
        runFor(5s);
    }
};

std::string firstViolation(const proxy_world &world)
{
    return world.violations.empty() ? std::string() : world.violations.front();
}

void checkNoViolations(const proxy_world &world)
{
    CHECK_TRUE_TEXT(world.violations.empty(), firstViolation(world).c_str());
}

} // namespace

TEST_GROUP(proxy_engine){};

TEST(proxy_engine, readsAndWritesOfAllReadRulesSucceedWithoutFaults)
{
    ready_world world;
    for (const char *name : {"latest", "session", "age"}) {
        fake_client &client = world.connect(name);
        CHECK_TRUE(client.accepted);
        CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(client, client_verb::begin).state == transaction_state::open);
        CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(client, client_verb::commit).state == transaction_state::none);
    }
    // The primary is the nearest database; the ranking still chooses distant replicas for some reads.
    fake_client &reader = world.connect("age");
    for (int reads = 0; reads < 60; ++reads) {
        CHECK_TRUE(world.sendAndWait(reader, client_verb::read, "x").code == reply_code::done);
    }
    checkNoViolations(world);
    CHECK_TRUE(world.engine.counters.replicaReads > 0);
}

TEST(proxy_engine, anUnknownDatabaseIsRefusedAndARemovedRouteOnlyAfterTheOpenTransaction)
{
    ready_world world;
    CHECK_TRUE(world.connect("nobody").closedWith == reply_code::unknownDatabase);
    fake_client &client = world.connect("age");
    world.sendAndWait(client, client_verb::begin);
    route_table table = world.engine.routes;
    table.version = revision_number(2);
    table.routes.erase("age");
    onConfiguration(world.engine, table, world.now);
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::done);
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::unknownDatabase);
}

TEST(proxy_engine, anOlderConfigurationIsIgnored)
{
    ready_world world;
    world.configure(9);
    route_table older = world.engine.routes;
    older.version = revision_number(8);
    older.routes.clear();
    onConfiguration(world.engine, older, world.now);
    CHECK_EQUAL(9, world.engine.routes.version.value());
    CHECK_TRUE(world.connect("age").accepted);
}

TEST(proxy_engine, aStatementThatFollowsOneLeftInTheQueueOfAnotherGroupDoesNotGoToThatGroup)
{
    proxy_world world(7);
    world.configure(1);
    fake_client &client = world.connect("latest");
    world.send(client, client_verb::write, "x", "1");
    world.runFor(100ms);
    route_table table = world.engine.routes;
    table.version = revision_number(2);
    table.routes["latest"].group = group_name("h");
    onConfiguration(world.engine, table, world.now);
    for (int steps = 0; steps < 300 && client.replies.empty(); ++steps) {
        world.runFor(5ms);
    }
    CHECK_EQUAL(1, client.replies.size());
    world.send(client, client_verb::write, "x", "2");
    world.addGroup();
    world.runFor(2s);
    CHECK_TRUE(world.committed().empty());
}

TEST(proxy_engine, latestReadsAreNotServedByAReplacedPrimary)
{
    ready_world world;
    fake_client &reader = world.connect("latest");
    CHECK_TRUE(world.sendAndWait(reader, client_verb::read, "x").code == reply_code::done);
    // Another instance ordered the promotion; the replaced primary no longer receives the log.
    world.primary().lag = 60s;
    world.promote(database_name("db-1"));
    world.writeFromOtherInstance();
    CHECK_TRUE(world.sendAndWait(reader, client_verb::read, "x").code == reply_code::done);
    checkNoViolations(world);
}

TEST(proxy_engine, ageReadsSeeCommitsOfOtherInstancesOlderThanTheMaximumAge)
{
    ready_world world;
    fake_client &reader = world.connect("age");
    for (auto &[name, database] : world.databases) {
        database.lag = 60s;
    }
    for (int step = 0; step < 40; ++step) {
        world.writeFromOtherInstance();
        CHECK_TRUE(world.sendAndWait(reader, client_verb::read, "x").code == reply_code::done);
        world.runFor(100ms);
    }
    checkNoViolations(world);
}

TEST(proxy_engine, replicasThatLagLessThanTheMaximumAgeServeReads)
{
    ready_world world;
    world.engine.settings.dataCentre = "dc-1";
    for (auto &[name, database] : world.databases) {
        database.lag = 1200ms;
    }
    fake_client &reader = world.connect("age");
    fake_client &sessionReader = world.connect("session");
    // Runs for 2 s, longer than the lag of 1200 ms, so that the replicas are behind by their full lag.
    for (int round = 0; round < 40; ++round) {
        world.writeFromOtherInstance();
        world.runFor(50ms);
    }
    const std::uint64_t primaryReadsBefore = world.engine.counters.primaryReads;
    const std::uint64_t readsBefore = primaryReadsBefore + world.engine.counters.replicaReads;
    for (int round = 0; round < 200; ++round) {
        world.writeFromOtherInstance();
        CHECK_TRUE(world.sendAndWait(reader, client_verb::read, "x").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(sessionReader, client_verb::read, "x").code == reply_code::done);
        world.runFor(40ms);
    }
    const std::uint64_t primaryReads = world.engine.counters.primaryReads - primaryReadsBefore;
    const std::uint64_t allReads = world.engine.counters.primaryReads + world.engine.counters.replicaReads - readsBefore;
    // The maximum age leaves 300 ms for the network delay and the interval between samples.
    CHECK_TRUE_TEXT(
        primaryReads * 4 < allReads, (std::to_string(primaryReads) + " of " + std::to_string(allReads) + " at the primary").c_str());
    checkNoViolations(world);
}

TEST(proxy_engine, aReplicaWithALogOfAnOlderTermServesNoReadWithANewerFloor)
{
    ready_world world;
    fake_client &session = world.connect("session");
    world.sendAndWait(session, client_verb::write, "x", "1");
    world.runFor(100ms);
    fake_database &replicaWithOldTerm = world.databases.at(database_name("db-2"));
    const std::vector<fake_commit> before = world.primary().log;
    world.promote(database_name("db-1"));
    // Log entries that the promotion rolled back; compared by position alone, they would satisfy the floor.
    replicaWithOldTerm.log = before;
    replicaWithOldTerm.log.push_back({term_number(1), "lost-1"});
    replicaWithOldTerm.log.push_back({term_number(1), "lost-2"});
    replicaWithOldTerm.log.push_back({term_number(1), "lost-3"});
    replicaWithOldTerm.lag = 60s;
    world.databases.at(database_name("db-0")).unresponsive = true;
    world.sendAndWait(session, client_verb::write, "x", "2");
    for (int reads = 0; reads < 20; ++reads) {
        CHECK_TRUE(world.sendAndWait(session, client_verb::read, "x").code == reply_code::done);
    }
    checkNoViolations(world);
}

TEST(proxy_engine, aFloorThatWasRolledBackDoesNotBlockTheSession)
{
    ready_world world;
    fake_client &session = world.connect("session");
    for (auto &[name, database] : world.databases) {
        database.lag = 60s;
    }
    for (int writes = 0; writes < 5; ++writes) {
        world.sendAndWait(session, client_verb::write, "x", "1");
    }
    for (auto &[name, database] : world.databases) {
        database.pendingCommits.clear();
        database.lag = 10ms;
    }
    world.promote(database_name("db-1"));
    world.runFor(3s);
    CHECK_TRUE(world.sendAndWait(session, client_verb::read, "x").code == reply_code::done);
    checkNoViolations(world);
}

TEST(proxy_engine, aCrashedPrimaryIsReplacedWithinThreeSecondsByOnePromotion)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    world.runFor(1s);
    world.crash(world.primary());
    const time_point crashed = world.now;
    while (world.now - crashed < 6s && world.sendAndWait(client, client_verb::write, "x", "2").code != reply_code::done) { }
    CHECK_TRUE(world.now - crashed < 3s);
    CHECK_EQUAL(1, world.fences.size());
    checkNoViolations(world);
}

TEST(proxy_engine, aPrimaryThatStillReplicatesIsNotReplacedWhenOneInstanceCannotReachIt)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::write, "x", "1");
    fake_database &primary = world.primary();
    primary.unresponsive = true;
    for (int step = 0; step < 30; ++step) {
        // Other instances still write to the primary, and the replicas receive the commits.
        for (auto &[name, database] : world.databases) {
            if (!database.primary) {
                database.log.push_back({term_number(1), "other-" + std::to_string(step)});
            }
        }
        world.send(client, client_verb::write, "x", "2");
        world.runFor(200ms);
    }
    CHECK_EQUAL(0, world.fences.size());
}

TEST(proxy_engine, aPromotionOrderWithoutAReplyIsRepeatedWithANewFence)
{
    ready_world world;
    world.promotionRepliesLost = true;
    world.promotionTime = 10s;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.crash(world.primary());
    for (int tries = 0; tries < 6; ++tries) {
        world.sendAndWait(client, client_verb::write, "x", "2");
    }
    CHECK_TRUE(world.fences.size() >= 2);
    checkNoViolations(world);
}

TEST(proxy_engine, noPromotionIsOrderedUntilTheStoreIsAvailable)
{
    ready_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.crash(world.primary());
    world.sendAndWait(client, client_verb::write, "x", "2");
    world.runFor(3s);
    CHECK_EQUAL(0, world.fences.size());
    world.storeUnavailable = false;
    world.runFor(3s);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "3").code == reply_code::done);
    CHECK_EQUAL(1, world.fences.size());
}

TEST(proxy_engine, aLeavingPrimaryIsReplacedAndWritesContinue)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::write, "x", "1");
    const database_name old = world.primary().listed.name;
    world.primary().listed.leaving = true;
    world.publishListing();
    world.runFor(3s);
    CHECK_TRUE(world.primary().listed.name != old);
    CHECK_TRUE(world.engine.groups.at(group_name("g")).outage.has_value());
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::done);
    CHECK_FALSE(world.engine.groups.at(group_name("g")).outage.has_value());
    checkNoViolations(world);
}

TEST(proxy_engine, aLeavingPrimaryThatCannotBeReplacedGetsNoWritesAfterTheGracePeriod)
{
    ready_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.primary().listed.leaving = true;
    world.publishListing();
    world.runFor(4100ms);
    const std::size_t before = world.primary().log.size();
    const client_reply reply = world.sendAndWait(client, client_verb::write, "x", "2");
    CHECK_TRUE(reply.code == reply_code::busy);
    CHECK_TRUE(reply.retryAfter > duration{});
    CHECK_EQUAL(before, world.primary().log.size());
}

TEST(proxy_engine, aDatabaseWhoseLeavingWasLearnedLateGetsNoWorkForTheWholeGracePeriodAgain)
{
    ready_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.primary().listed.leaving = true;
    world.publishListing(5s);
    const std::size_t before = world.primary().log.size();
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::busy);
    CHECK_EQUAL(before, world.primary().log.size());
}

TEST(proxy_engine, aWriteWhoseReplyIsLostIsInDoubtAndRunsOnce)
{
    ready_world world;
    fake_client &client = world.connect("session");
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.primary().replyLossPercent = 100;
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::inDoubt);
    const std::string id = client.sent.id;
    world.primary().replyLossPercent = 0;
    world.runFor(5s);
    CHECK_EQUAL(1, world.committed()[id]);
    checkNoViolations(world);
}

TEST(proxy_engine, aWriteWhoseConnectionIsResetIsInDoubtAndRunsOnce)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.send(client, client_verb::write, "x", "2");
    const std::string id = client.sent.id;
    world.runFor(2ms);
    world.resetConnections(world.primary());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::inDoubt);
    world.runFor(3s);
    CHECK_EQUAL(1, world.committed()[id]);
}

TEST(proxy_engine, aCommitWhoseConnectionIsResetIsInDoubt)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.send(client, client_verb::commit);
    world.runFor(2ms);
    world.resetConnections(world.primary());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::inDoubt);
    CHECK_TRUE(client.replies.back().reply.state == transaction_state::none);
}

TEST(proxy_engine, aStatementWhoseConnectionIsResetAbortsItsTransaction)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.send(client, client_verb::write, "x", "2");
    world.runFor(2ms);
    world.resetConnections(world.primary());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::aborted);
    CHECK_TRUE(world.sendAndWait(client, client_verb::rollback).state == transaction_state::none);
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    checkNoViolations(world);
}

TEST(proxy_engine, anUnsignedReplyIsNeverReturnedToAReadAndItsConnectionIsClosed)
{
    ready_world world;
    fake_client &client = world.connect("age");
    world.sendAndWait(client, client_verb::read, "x");
    world.send(client, client_verb::read, "x");
    const session_id reader = client.id;
    const auto usedConnection = std::ranges::find_if(world.engine.connections, [&](const auto &connection) {
        return connection.second.session == reader;
    });
    CHECK_TRUE(usedConnection != world.engine.connections.end());
    const database_connection_id connection = usedConnection->first;
    // The reply to the read is lost, and the reply to a later command of the instance arrives in its place.
    database_reply late;
    late.position = log_entry{term_number(1), log_position(9)};
    onDatabaseReply(world.engine, connection, late, world.now);
    world.performActions();
    CHECK_FALSE(world.engine.connections.contains(connection));
    world.runFor(500ms);
    CHECK_EQUAL(2, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    checkNoViolations(world);
}

TEST(proxy_engine, connectionsWithLostRepliesDoNotBlockOtherStatements)
{
    ready_world world;
    world.engine.settings.maxConnectionsPerDatabase = 2;
    std::vector<fake_client *> clients;
    for (int count = 0; count < 4; ++count) {
        clients.push_back(&world.connect("latest"));
    }
    world.primary().replyLossPercent = 15;
    int asked = 0;
    int refused = 0;
    for (int round = 0; round < 800; ++round) {
        for (fake_client *client : clients) {
            if (!client->awaitsReply && !client->closed) {
                refused += !client->replies.empty() && client->replies.back().reply.code == reply_code::busy ? 1 : 0;
                asked += 1;
                world.send(*client, round % 3 == 0 ? client_verb::write : client_verb::read, "x", "1");
            }
        }
        world.runFor(5ms);
    }
    CHECK_TRUE(asked > 60);
    // A lost reply affects only its own statement; the others get a connection within the timeout of 1 s.
    CHECK_TRUE_TEXT(refused * 50 <= asked, (std::to_string(refused) + " of " + std::to_string(asked) + " refused").c_str());
    checkNoViolations(world);
}

TEST(proxy_engine, aReadWhoseReplyIsLostIsRetriedOnAnotherDatabase)
{
    ready_world world;
    fake_client &client = world.connect("age");
    world.databases.at(database_name("db-0")).replyLossPercent = 100;
    for (int reads = 0; reads < 5; ++reads) {
        CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    }
    checkNoViolations(world);
}

TEST(proxy_engine, aCommitWhoseReplyIsLostIsInDoubtOnlyIfTheTransactionWrote)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.primary().replyLossPercent = 100;
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::inDoubt);
    world.primary().replyLossPercent = 0;
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::read, "x");
    world.primary().replyLossPercent = 100;
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::aborted);
    checkNoViolations(world);
}

TEST(proxy_engine, sessionValuesAndPreparedStatementsAreIsolatedBetweenClients)
{
    ready_world world;
    fake_client &one = world.connect("session");
    fake_client &two = world.connect("session");
    world.sendAndWait(one, client_verb::setValue, "zone", "a");
    world.sendAndWait(one, client_verb::prepare, "s", "shape1", true);
    world.sendAndWait(two, client_verb::prepare, "s", "shape2", false);
    for (int turns = 0; turns < 10; ++turns) {
        CHECK_TRUE(world.sendAndWait(one, client_verb::execute, "s", "x").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(two, client_verb::execute, "s", "x").code == reply_code::done);
        CHECK_TRUE(world.sendAndWait(two, client_verb::read, "x").code == reply_code::done);
    }
    CHECK_TRUE(world.sendAndWait(two, client_verb::execute, "none", "x").code == reply_code::unknownStatement);
    checkNoViolations(world);
}

TEST(proxy_engine, aFailedTransactionAcceptsOnlyCommitAndRollback)
{
    ready_world world;
    fake_client &client = world.connect("session");
    world.sendAndWait(client, client_verb::beginRead);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::readOnly);
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::malformed);
    const client_reply ended = world.sendAndWait(client, client_verb::commit);
    CHECK_TRUE(ended.code == reply_code::aborted);
    CHECK_TRUE(ended.state == transaction_state::none);
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
}

TEST(proxy_engine, anIdleTransactionIsRolledBackAfterItsTimeout)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::write, "x", "1");
    const std::string id = client.sent.id;
    world.runFor(4s);
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::aborted);
    CHECK_FALSE(world.committed().contains(id));
}

TEST(proxy_engine, aStatementRefusedByAnOverloadedDatabaseIsRetriedWithBackoffInsideATransaction)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    // Each write leaves a connection timer behind; none of them may send the later statement again.
    for (int writes = 0; writes < 50; ++writes) {
        world.sendAndWait(client, client_verb::write, "x", "0");
        world.runFor(40ms);
    }
    world.sendAndWait(client, client_verb::begin);
    world.sendAndWait(client, client_verb::write, "x", "1");
    world.primary().full = true;
    const std::uint64_t before = world.engine.counters.retries;
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::aborted);
    // Backoffs of 20, 40 and then 80 ms within the route's timeout of 1 s.
    CHECK_TRUE(world.engine.counters.retries - before <= 15);
}

TEST(proxy_engine, aStopClosesIdleSessionsAndLetsOpenTransactionsContinue)
{
    ready_world world;
    fake_client &idleClient = world.connect("age");
    fake_client &transactionClient = world.connect("latest");
    world.sendAndWait(transactionClient, client_verb::begin);
    onStop(world.engine, world.now);
    world.performActions();
    CHECK_TRUE(world.sendAndWait(transactionClient, client_verb::write, "x", "1").code == reply_code::done);
    CHECK_TRUE(world.sendAndWait(transactionClient, client_verb::commit).code == reply_code::done);
    world.runFor(3s);
    CHECK_TRUE(idleClient.closed);
    CHECK_TRUE(idleClient.closedWith == reply_code::busy);
    CHECK_TRUE(transactionClient.closed);
}

TEST(proxy_engine, aSessionThatStartsLongAfterTheStopRequestIsClosedOnceIdle)
{
    ready_world world;
    onStop(world.engine, world.now);
    world.performActions();
    world.runFor(3200ms);
    fake_client &late = world.connect("age");
    CHECK_TRUE(world.sendAndWait(late, client_verb::read, "x").code == reply_code::done);
    world.runFor(400ms);
    CHECK_TRUE(late.closed);
    checkNoViolations(world);
}

TEST(proxy_engine, aStatementTooLateToFinishBeforeTheInstanceStopsIsRefusedAtOnce)
{
    ready_world world;
    onStop(world.engine, world.now);
    world.performActions();
    world.runFor(4200ms);
    fake_client &late = world.connect("age");
    CHECK_TRUE(late.accepted);
    CHECK_TRUE(world.sendAndWait(late, client_verb::read, "x").code == reply_code::busy);
    CHECK_TRUE(late.replies.back().reply.retryAfter > 0ms);
    world.runFor(400ms);
    CHECK_TRUE(late.closed);
    checkNoViolations(world);
}

TEST(proxy_engine, anUnlistedDatabaseStaysUsableUntilUnlistedValidForHasPassed)
{
    ready_world world;
    database_listing none;
    onListing(world.engine, none, world.now, world.now);
    fake_client &client = world.connect("latest");
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    world.runFor(3s);
    CHECK_TRUE(world.engine.groups.at(group_name("g")).databases.empty());
}

TEST(proxy_engine, aStatementAfterStartupWaitsForDatabasesToBeListed)
{
    proxy_world world(7);
    world.configure(1);
    fake_client &client = world.connect("latest");
    world.send(client, client_verb::write, "x", "1");
    world.runFor(500ms);
    CHECK_TRUE(client.replies.empty());
    world.addGroup();
    world.runFor(300ms);
    CHECK_EQUAL(1, client.replies.size());
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
}

TEST(proxy_engine, aStatementWithoutAnyDatabaseIsRefusedAtItsTimeoutWithRetryAfter)
{
    proxy_world world(7);
    world.configure(1);
    fake_client &client = world.connect("latest");
    const client_reply reply = world.sendAndWait(client, client_verb::write, "x", "1");
    CHECK_TRUE(reply.code == reply_code::busy);
    CHECK_TRUE(reply.retryAfter > duration{});
}

TEST(proxy_engine, aSuspectedReplicaIsAskedForItsStatusAndItsConnectionStaysUsable)
{
    ready_world world;
    fake_client &client = world.connect("age");
    const database_name replica("db-1");
    world.databases.at(replica).networkDelay = 500us;
    CHECK_TRUE(world.sendAndWait(client, client_verb::read, "x").code == reply_code::done);
    group_state &group = world.engine.groups.at(group_name("g"));
    for (int round = 0; round < 3; ++round) {
        proxying::markSuspected(world.engine, group, group.databases.at(replica), "test", world.now);
        world.runFor(500ms);
        CHECK_TRUE(group.databases.at(replica).suspectedSince == time_point{});
    }
    for (const database_connection_id id : group.databases.at(replica).connections) {
        CHECK_TRUE(world.engine.connections.at(id).state == database_connection_state::idle);
    }
}

TEST(proxy_engine, noMoreIsReadFromAClientWhoseWaitingStatementsAreLarge)
{
    ready_world world;
    fake_client &client = world.connect("latest");
    world.primary().full = true;
    const std::string large(20'000, 'x');
    world.send(client, client_verb::write, "x", large);
    CHECK_TRUE(mayReadFrom(world.engine, client.id));
    world.send(client, client_verb::write, "x", large);
    CHECK_TRUE(mayReadFrom(world.engine, client.id));
    world.send(client, client_verb::write, "x", large);
    CHECK_FALSE(mayReadFrom(world.engine, client.id));
    world.primary().full = false;
    world.runFor(1s);
    CHECK_EQUAL(3, client.replies.size());
    CHECK_TRUE(mayReadFrom(world.engine, client.id));
}
