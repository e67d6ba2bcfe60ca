#include "UnitTests/Proxy/relaying_world.h"

#include <CppUTest/TestHarness.h>

#include <vector>

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
        openConnections();
    }

    /// Has the instance that holds connections open some to all databases of both groups.
    void openConnections()
    {
        std::vector<fake_client *> readers;
        for (int index = 0; index < 12; ++index) {
            readers.push_back(&connect(index % 2 == 0 ? "age" : "open"));
        }
        for (int round = 0; round < 5; ++round) {
            for (fake_client *reader : readers) {
                send(*reader, client_verb::read, "x");
            }
            runFor(200ms);
        }
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

TEST(route_move, aHolderWithAnotherConfigurationDoesNotRunAStatementOfARouteThatHasMoved)
{
    // The old service ran half of the requests, as the holder looked the route up in its own configuration.
    for (const bool holderIsNewer : {false, true}) {
        two_group_world world(true);
        fake_client &client = world.connectToEntry("session");
        checkDone(world, client, client_verb::write);
        world.moveRoutes(secondGroup);
        world.configure(holderIsNewer ? world.engine : *world.entry, world.lastVersion);
        for (const client_verb verb :
             {client_verb::write, client_verb::read, client_verb::begin, client_verb::write, client_verb::commit}) {
            checkDone(world, client, verb);
            const auto ran = world.groupByStatement.find(client.sent.id);
            CHECK_TRUE(ran == world.groupByStatement.end() || ran->second == (holderIsNewer ? firstGroup : secondGroup));
        }
        CHECK_TRUE(world.entry->counters.relayedToOtherRoute > 0);
        checkNoViolations(world);
        world.configure(world.lastVersion);
        world.runFor(3s);
        const std::uint64_t relayed = world.entry->counters.statementsRelayed;
        checkDone(world, client, client_verb::write);
        CHECK_EQUAL(relayed + 1, world.entry->counters.statementsRelayed);
        CHECK_TRUE(world.groupByStatement.at(client.sent.id) == secondGroup);
    }
}

TEST(route_move, aRelayedSessionSeesItsCommitsWhereverTheTwoInstancesDisagree)
{
    for (const bool holderMovesFirst : {false, true}) {
        two_group_world world(true);
        world.fillLog(firstGroup, 20);
        fake_client &client = world.connectToEntry("session");
        world.setLag(firstGroup, 1500ms);
        checkDone(world, client, client_verb::read);
        checkDone(world, client, client_verb::write);
        proxy_engine &first = holderMovesFirst ? world.engine : *world.entry;
        proxy_engine &second = holderMovesFirst ? *world.entry : world.engine;
        for (const group_name &group : {secondGroup, firstGroup}) {
            world.moveRoutes(group);
            world.configure(first, world.lastVersion);
            checkDone(world, client, client_verb::read);
            checkDone(world, client, client_verb::read);
            world.configure(second, world.lastVersion);
            checkDone(world, client, client_verb::read);
        }
        checkNoViolations(world);
    }
}

TEST(route_move, aRelayedStatementIsServedByTheStricterReadRule)
{
    // The holder still has the rule from before the change, or the relaying instance has.
    for (const bool holderIsNewer : {false, true}) {
        two_group_world world(true);
        fake_client &writer = world.connect("latest");
        fake_client &reader = world.connectToEntry("age");
        checkDone(world, reader, client_verb::read);
        world.setLag(firstGroup, 1500ms);
        world.ruleByRoute["age"] = read_rule::latest;
        world.lastVersion += 1;
        world.configure(holderIsNewer ? world.engine : *world.entry, world.lastVersion);
        checkDone(world, writer, client_verb::write);
        const std::string written = writer.sent.id;
        checkDone(world, reader, client_verb::read);
        CHECK_TRUE(world.seenByRead.at(reader.sent.id).contains(written));
    }
}

TEST(route_move, aSessionSeesItsCommitsWhenItsRouteBecomesReadYourWritesAtTheHolderFirst)
{
    two_group_world world(true);
    fake_client &client = world.connectToEntry("age");
    world.setLag(firstGroup, 1200ms);
    checkDone(world, client, client_verb::read);
    world.ruleByRoute["age"] = read_rule::session;
    world.lastVersion += 1;
    world.configure(world.engine, world.lastVersion);
    checkDone(world, client, client_verb::write);
    const std::string written = client.sent.id;
    for (int reads = 0; reads < 5; ++reads) {
        checkDone(world, client, client_verb::read);
        CHECK_TRUE(world.seenByRead.at(client.sent.id).contains(written));
    }
}

TEST(route_move, aRouteThatBecomesPrimaryAndBackKeepsTheSessionsCommits)
{
    for (const bool relays : {false, true}) {
        two_group_world world(relays);
        world.fillLog(firstGroup, 5);
        fake_client &client = relays ? world.connectToEntry("session") : world.connect("session");
        world.setLag(firstGroup, 1500ms);
        checkDone(world, client, client_verb::read);
        for (const read_rule rule : {read_rule::latest, read_rule::age, read_rule::session}) {
            world.ruleByRoute["session"] = rule;
            world.lastVersion += 1;
            world.configure(world.lastVersion);
            checkDone(world, client, client_verb::write);
        }
        for (int reads = 0; reads < 10; ++reads) {
            checkDone(world, client, client_verb::read);
        }
        checkNoViolations(world);
    }
}

TEST(route_move, commitsOfALogThatIsGoneDoNotKeepASessionFromReplicas)
{
    // The route leads back to a service whose databases have begun a new log.
    two_group_world world;
    world.fillLog(firstGroup, 20);
    fake_client &client = world.connect("session");
    checkDone(world, client, client_verb::write);
    world.moveEverywhere(secondGroup);
    for (auto &[name, database] : world.databases) {
        if (database.listed.group == firstGroup) {
            for (const fake_commit &commit : database.log) {
                world.rolledBack.insert(commit.id);
            }
            database.log.clear();
            database.pendingCommits.clear();
        }
    }
    world.runFor(5s);
    world.moveEverywhere(firstGroup);
    checkDone(world, client, client_verb::read);
    // Databases that refused the read for lag are avoided for a moment.
    world.runFor(2s);
    const std::uint64_t before = world.engine.counters.replicaReads;
    for (int reads = 0; reads < 20; ++reads) {
        checkDone(world, client, client_verb::read);
    }
    CHECK_TRUE(world.engine.counters.replicaReads - before > 10);
    checkNoViolations(world);
}

TEST(route_move, aTransactionWhoseBeginTheHolderRefusesForItsRouteBeginsByThePresentOne)
{
    two_group_world world(true);
    fake_client &client = world.connectToEntry("latest");
    checkDone(world, client, client_verb::write);
    world.send(client, client_verb::begin);
    // The BEGIN is on its way, and names the first group.
    world.moveEverywhere(secondGroup);
    world.runFor(50ms);
    checkDone(world, client, client_verb::write);
    checkDone(world, client, client_verb::commit);
    CHECK_TRUE(world.groupByStatement.at(client.sent.id) == secondGroup);
    checkNoViolations(world);
}

TEST(route_move, aRelayedStatementWhoseRouteMovesWhileItWaitsAtTheHolderDoesNotRunThere)
{
    two_group_world world(true);
    fake_client &client = world.connectToEntry("session");
    checkDone(world, client, client_verb::write);
    for (auto &[name, database] : world.databases) {
        database.full = database.listed.group == firstGroup;
    }
    world.send(client, client_verb::write, "x", "2");
    world.runFor(50ms);
    world.moveRoutes(secondGroup);
    world.configure(world.engine, world.lastVersion);
    world.runFor(100ms);
    CHECK_FALSE(world.groupByStatement.contains(client.sent.id));
    world.configure(*world.entry, world.lastVersion);
    world.runFor(1s);
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    CHECK_TRUE(world.groupByStatement.at(client.sent.id) == secondGroup);
}

TEST(route_move, aPositionFromABuildThatNamesNoGroupsIsNotTakenForOneOfTheGroup)
{
    two_group_world world(true);
    world.fillLog(firstGroup, 20);
    fake_client &client = world.connectToEntry("session");
    world.groupsNotNamed = true;
    world.repliesNotMarked = true;
    world.setLag(firstGroup, 1500ms);
    checkDone(world, client, client_verb::read);
    checkDone(world, client, client_verb::write);
    for (int reads = 0; reads < 10; ++reads) {
        checkDone(world, client, client_verb::read);
    }
    checkNoViolations(world);
}

TEST(route_move, aFloorFromABuildThatNamesNoGroupsIsNotComparedWithTheHoldersLog)
{
    two_group_world world(true);
    world.fillLog(secondGroup, 50);
    fake_client &client = world.connectToEntry("session");
    world.moveEverywhere(secondGroup);
    world.setLag(secondGroup, 1500ms);
    checkDone(world, client, client_verb::read);
    checkDone(world, client, client_verb::write);
    world.moveEverywhere(firstGroup);
    checkDone(world, client, client_verb::write);
    world.groupsNotNamed = true;
    world.moveRoutes(secondGroup);
    world.configure(world.engine, world.lastVersion);
    for (int reads = 0; reads < 5; ++reads) {
        checkDone(world, client, client_verb::read);
    }
    checkNoViolations(world);
}

TEST(route_move, aReadLowersASessionsCommitsOnlyOnceItIsVerifiedAndDelivered)
{
    // A reply that was abandoned later had lowered them all the same.
    proxy_world world(7);
    world.engine.settings.replacedPrimariesStepDown = false;
    world.replacedPrimariesContinue = true;
    world.addGroup();
    world.configure(1);
    onListing(world.engine, {world.primary().listed}, world.now, world.now);
    world.runFor(20s);
    fake_client &client = world.connect("session");
    checkDone(world, client, client_verb::write);
    // The primary lacks this entry, so the read is held until the store's claim shows that no other database leads.
    const log_entry committed{term_number(1), log_position(500)};
    recordCommit(world.engine.sessions.at(client.id).ownCommits, firstGroup, committed);
    world.storeUnavailable = true;
    world.send(client, client_verb::read, "x");
    world.runFor(300ms);
    CHECK_TRUE(world.engine.sessions.at(client.id).current && world.engine.sessions.at(client.id).current->replyHeld);
    CHECK_TRUE(floorOf(world.engine.sessions.at(client.id).ownCommits, firstGroup) == committed);
    world.storeUnavailable = false;
    world.runFor(500ms);
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    CHECK_TRUE(*floorOf(world.engine.sessions.at(client.id).ownCommits, firstGroup) < committed);
}
