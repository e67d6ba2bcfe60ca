#include "UnitTests/Proxy/proxy_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// An instance that has served for a while, and whose promotion orders can be held up.
struct leaving_world : proxy_world {
    leaving_world()
        : proxy_world(7)
    {
        addGroup();
        configure(1);
        runFor(1s);
    }
    database_name leave()
    {
        const database_name name = primary().listed.name;
        primary().listed.leaving = true;
        publishListing();
        return name;
    }
    /// Whether a write has run in a transaction that is open at the primary.
    bool hasRunWrite()
    {
        return std::ranges::any_of(primary().connections, [](const auto &connection) {
            return !connection.second.writes.empty();
        });
    }
    /// Time between now and the end of the grace period of one that leaves now.
    duration grace() const
    {
        return engine.settings.leavingGracePeriod;
    }
};

void checkNoViolations(const proxy_world &world)
{
    CHECK_TRUE_TEXT(world.violations.empty(), world.violations.empty() ? "" : world.violations.front().c_str());
}

} // namespace

TEST_GROUP(leaving_database){};

TEST(leaving_database, theFirstStatementOfATransactionIsNotSentToItAfterTheGracePeriod)
{
    // Review 8: BEGIN was sent in time, and the statement whenever the client sent it.
    leaving_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.leave();
    world.runFor(world.grace() - 200ms);
    world.sendAndWait(client, client_verb::begin);
    world.runFor(400ms);
    world.send(client, client_verb::write, "x", "1");
    for (int step = 0; step < 30; ++step) {
        world.runFor(50ms);
        CHECK_FALSE(world.hasRunWrite());
    }
    const reply_code code = client.replies.back().reply.code;
    CHECK_TRUE(code == reply_code::busy || code == reply_code::aborted);
    checkNoViolations(world);
}

TEST(leaving_database, aTransactionThatRestedBeforeItsFirstStatementBeginsAtTheSuccessor)
{
    leaving_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    const database_name before = world.leave();
    world.runFor(world.grace() - 200ms);
    world.sendAndWait(client, client_verb::begin);
    world.runFor(400ms);
    world.storeUnavailable = false;
    world.runFor(600ms);
    world.send(client, client_verb::write, "x", "1");
    world.runFor(900ms);
    CHECK_TRUE(world.primary().listed.name != before);
    CHECK_TRUE(client.replies.back().reply.code == reply_code::done);
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::done);
    CHECK_EQUAL(1, world.committed()[client.sent.id]);
    checkNoViolations(world);
}

TEST(leaving_database, aTransactionThatHasBegunToRunGoesOnAfterTheGracePeriod)
{
    leaving_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.leave();
    world.runFor(world.grace() - 200ms);
    world.sendAndWait(client, client_verb::begin);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    CHECK_TRUE(world.hasRunWrite());
    world.runFor(400ms);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "y", "2").code == reply_code::done);
    CHECK_TRUE(world.sendAndWait(client, client_verb::commit).code == reply_code::done);
    checkNoViolations(world);
}

TEST(leaving_database, aFirstStatementThatWasRefusedForLackOfASlotIsNotRepeatedThereAfterTheGracePeriod)
{
    leaving_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    world.leave();
    world.runFor(world.grace() - 300ms);
    world.sendAndWait(client, client_verb::begin);
    world.primary().full = true;
    world.send(client, client_verb::write, "x", "1");
    world.runFor(350ms);
    world.primary().full = false;
    for (int step = 0; step < 40; ++step) {
        world.runFor(50ms);
        CHECK_FALSE(world.hasRunWrite());
    }
    checkNoViolations(world);
}

TEST(leaving_database, oneThatIsGoneIsNotUsedLaterThanTheGracePeriodAfterItWasListedLast)
{
    leaving_world world;
    world.storeUnavailable = true;
    fake_client &client = world.connect("latest");
    const database_name gone = world.primary().listed.name;
    database_listing listing;
    for (const auto &[name, database] : world.databases) {
        if (name != gone) {
            listing.push_back(database.listed);
        }
    }
    // It was listed when the request was sent that is answered now.
    const time_point listedUntil = world.now - (world.grace() - 500ms);
    onListing(world.engine, listing, listedUntil, world.now);
    world.performActions();
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    world.runFor(600ms);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::busy);
    CHECK_FALSE(world.committed().contains(client.sent.id));
}

TEST(leaving_database, oneThatIsMissingAfterAnOutageOfTheStoreStaysUsableUntilItsEntryIsBack)
{
    leaving_world world;
    fake_client &client = world.connect("latest");
    onListing(world.engine, {}, world.now - 20s, world.now);
    world.performActions();
    world.runFor(1900ms);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "1").code == reply_code::done);
    world.publishListing();
    world.runFor(3s);
    CHECK_TRUE(world.sendAndWait(client, client_verb::write, "x", "2").code == reply_code::done);
    checkNoViolations(world);
}
