#include "UnitTests/Proxy/commit_world.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

void checkNothingLost(const commit_world &world, const std::string &what)
{
    const std::string first = world.lost.empty() ? std::string() : world.lost.front();
    CHECK_EQUAL_TEXT(0U, world.lost.size(), (what + ": " + first).c_str());
}

void checkServes(const commit_world &world, const std::string &what)
{
    CHECK_TRUE_TEXT(world.acknowledgedWithin(2s) > 10, (what + ": no writes in the last two seconds").c_str());
}

std::string describe(const commit_conditions &conditions)
{
    return std::string(conditions.fenced ? "fenced" : "not fenced") + ", " + std::to_string(conditions.syncReplicas)
           + " synchronous, orders late by " + std::to_string(conditions.ordersLateBy / 1ms) + " ms, seed "
           + std::to_string(conditions.seed);
}

/// Combinations of the conditions under which promotions are ordered.
std::vector<commit_conditions> allConditions(std::uint64_t seed)
{
    std::vector<commit_conditions> all;
    for (const bool fenced : {true, false}) {
        for (const duration late : {0ms, 2500ms}) {
            for (const std::uint32_t replicas : {1U, 0U}) {
                all.push_back({.syncReplicas = replicas, .fenced = fenced, .ordersLateBy = late, .seed = seed});
            }
        }
    }
    return all;
}

/// What happens to the primary.
enum class primary_event : std::uint8_t { leaves, crashes, isDark, isCutFromOne };
/// What happens to another database meanwhile.
enum class other_event : std::uint8_t { joins, leaves, crashes, startsAgain, startsEmpty, returns, isDeaf, count };

void begin(commit_world &world, primary_event event)
{
    switch (event) {
    case primary_event::leaves:
        world.join("i-1n");
        world.runFor(300ms);
        world.drain("i-1a");
        break;
    case primary_event::crashes:
        world.crash("i-1a");
        break;
    case primary_event::isDark:
        world.setDark("i-1a", true);
        world.events.emplace(world.now + 2s, [&world] {
            world.setDark("i-1a", false);
        });
        break;
    case primary_event::isCutFromOne:
        world.member("i-1a").cutFrom = {0, 1};
        world.events.emplace(world.now + 2500ms, [&world] {
            world.member("i-1a").cutFrom.clear();
        });
        break;
    }
}

/// Whether a commit that only the primary and one replica have is on no database any more.
bool areBothCopiesGone(primary_event first, other_event other)
{
    return first == primary_event::crashes && (other == other_event::crashes || other == other_event::startsEmpty);
}

void disturb(commit_world &world, other_event event)
{
    switch (event) {
    case other_event::joins:
        world.join(world.members.contains(database_name("i-0n")) ? "i-4n" : "i-0n");
        break;
    case other_event::leaves:
        world.drain("i-2b");
        break;
    case other_event::crashes:
        world.crash("i-2b");
        break;
    case other_event::startsAgain:
        world.restart("i-2b", true);
        break;
    case other_event::startsEmpty:
        world.restart("i-2b", false);
        break;
    case other_event::returns:
        world.setDark("i-2b", false);
        break;
    case other_event::isDeaf:
        world.member("i-2b").deaf = true;
        world.events.emplace(world.now + 1500ms, [&world] {
            world.member("i-2b").deaf = false;
        });
        break;
    case other_event::count:
        break;
    }
}

/// Plays the replacement of a primary with an event between its steps, and checks that nothing is lost and that writes go on.
void playReplacement(const commit_conditions &conditions, other_event other)
{
    commit_world world(conditions);
    world.member("i-3c").delay = 1ms * (5 + world.random() % 60);
    world.runFor(1500ms);
    if (other == other_event::returns) {
        world.setDark("i-2b", true);
        world.runFor(500ms);
    }
    const auto first = static_cast<primary_event>(world.random() % 4);
    begin(world, first);
    world.runFor(1ms * (world.random() % 2500));
    disturb(world, other);
    world.runFor(1ms * (world.random() % 1500));
    disturb(world, world.random() % 2 == 0 ? other_event::joins : other_event::startsAgain);
    world.runFor(20s);
    const std::string what = describe(conditions) + ", primary " + std::to_string(static_cast<int>(first)) + ", other "
                             + std::to_string(static_cast<int>(other));
    if (!areBothCopiesGone(first, other)) {
        checkNothingLost(world, what);
    }
    checkServes(world, what);
}

} // namespace

TEST_GROUP(commit_loss){};

// Guards against commits that only a database has which starts while a promotion is under way.
TEST(commit_loss, aDatabaseThatJoinsDuringAPromotionConfirmsNothingThatTheSuccessorLacks)
{
    for (const commit_conditions &conditions : allConditions(1)) {
        commit_world world(conditions);
        world.runFor(2s);
        world.join("i-1n");
        world.runFor(1s);
        world.drain("i-1a");
        world.runFor(600ms);
        for (const char *name : {"i-0a", "i-2n", "i-4n"}) {
            world.join(name);
            world.runFor(200ms);
        }
        world.runFor(8s);
        checkNothingLost(world, describe(conditions));
        checkServes(world, describe(conditions));
        CHECK_FALSE(world.member("i-1a").primary);
    }
}

// Guards against a successor that is chosen without the log of a leaving replica.
TEST(commit_loss, aLeavingReplicaThatAloneHasCommitsIsNotPassedOver)
{
    for (const commit_conditions &conditions : allConditions(2)) {
        commit_world world(conditions);
        world.runFor(2s);
        world.drain("i-2b");
        world.runFor(500ms);
        world.member("i-3c").deaf = true;
        world.runFor(2s);
        world.crash("i-1a");
        world.runFor(2500ms);
        world.member("i-3c").deaf = false;
        world.runFor(9s);
        checkNothingLost(world, describe(conditions));
        checkServes(world, describe(conditions));
        CHECK_TRUE(world.promotions > 0);
    }
}

// Guards against acknowledgements by a primary that returns after its successor was ordered.
TEST(commit_loss, aPrimaryThatReturnsDuringAPromotionAcknowledgesNothingThatItsSuccessorLacks)
{
    for (const commit_conditions &conditions : allConditions(3)) {
        for (const duration back : {900ms, 1200ms, 1500ms, 1800ms, 2100ms, 2400ms}) {
            commit_world world(conditions);
            world.member("i-2b").delay = 60ms;
            world.runFor(2s);
            world.setDark("i-1a", true);
            world.runFor(back);
            world.setDark("i-1a", false);
            world.runFor(9s);
            checkNothingLost(world, describe(conditions) + ", back after " + std::to_string(back / 1ms));
            checkServes(world, describe(conditions));
        }
    }
}

// Guards against an order without a response that is carried out after the cause has gone and commits have gone on.
TEST(commit_loss, anOrderThatIsCarriedOutLateTakesNoAcknowledgedCommit)
{
    for (const bool fenced : {true, false}) {
        const commit_conditions conditions{.fenced = fenced, .ordersLateBy = 5s, .seed = 4};
        commit_world world(conditions);
        world.runFor(2s);
        world.setDark("i-1a", true);
        while (world.orders == 0) {
            world.runFor(10ms);
        }
        world.setDark("i-1a", false);
        world.runFor(1s);
        // The one that is named receives nothing any more.
        world.members.at(world.claim.successor).deaf = true;
        while (world.promotions == 0) {
            world.runFor(10ms);
        }
        world.members.at(world.claim.successor).deaf = false;
        world.runFor(9s);
        checkNothingLost(world, describe(conditions));
        checkServes(world, describe(conditions));
    }
}

// Guards against losses by any event between two steps of a replacement: each kind of event, at random times.
TEST(commit_loss, noEventBetweenTheStepsOfAReplacementLosesAnAcknowledgedCommit)
{
    constexpr std::uint64_t seeds = 2;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (commit_conditions conditions : allConditions(seed)) {
            for (int other = 0; other < static_cast<int>(other_event::count); ++other) {
                conditions.seed = seed * 100 + static_cast<std::uint64_t>(other);
                playReplacement(conditions, static_cast<other_event>(other));
            }
        }
    }
}

// Guards against a promotion while a silent primary may have the only copy left, and against replicas that stay paused.
TEST(commit_loss, seedsThatFailedOnce)
{
    playReplacement({.seed = 304}, other_event::startsEmpty);
    playReplacement({.seed = 305}, other_event::returns);
    playReplacement({.ordersLateBy = 2500ms, .seed = 402}, other_event::crashes);
    playReplacement({.fenced = false, .ordersLateBy = 2500ms, .seed = 200}, other_event::joins);
}

// Guards against a group that waits for ever for an old primary whose successor led for a moment: no replica receives from it any more.
TEST(commit_loss, aPrimaryWhoseSuccessorDiedAtOnceIsReplacedAgain)
{
    commit_world world({.fenced = false, .seed = 5});
    world.runFor(2s);
    world.setDark("i-1a", true);
    while (world.promotions == 0) {
        world.runFor(1ms);
    }
    world.crash(world.claim.successor.value().c_str());
    world.runFor(1s);
    world.setDark("i-1a", false);
    world.runFor(20s);
    checkNothingLost(world, "after the successor's end");
    checkServes(world, "after the successor's end");
}
