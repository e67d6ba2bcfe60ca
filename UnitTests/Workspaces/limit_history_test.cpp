#include "limit_history.h"
#include "limit_world.h"

#include <algorithm>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

const workspace_name workspaceName("w");

/// Instances with one workspace that have been up for a while.
struct running_world {
    explicit running_world(std::size_t count, workspace_limit limit = {100, 50})
        : world(7)
    {
        for (std::size_t number = 0; number < count; ++number) {
            world.addNode(true);
        }
        world.setLimits({{workspaceName, limit}});
        world.runUntil(time_point(std::chrono::seconds(6)));
    }

    std::uint64_t servedWithin(duration span, std::size_t node, duration interval)
    {
        const std::uint64_t before = world.served;
        for (duration after{}; after < span; after += interval) {
            world.at(world.now + after, [this, node] {
                world.operate(node, workspaceName, true);
            });
        }
        world.runUntil(world.now + span);
        return world.served - before;
    }

    std::size_t pool() const
    {
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            const limit_world_node &candidate = world.nodes[node];
            if (candidate.engine && candidate.engine->pool.slots[slotOf(world.settings, workspaceName)].share > 0.5) {
                return node;
            }
        }
        return world.nodes.size();
    }

    limit_world world;
};

constexpr std::size_t ownersAtFirst = 24;

/// The last `count` members lose touch with the store and with all others, not with the databases. Then as many join as there were.
double fullestWindowWithOldLists(std::size_t count)
{
    constexpr workspace_limit limit{300, 75};
    running_world run(ownersAtFirst, limit);
    limit_world &world = run.world;
    const std::vector<instance_name> members = world.nodes[0].engine->ownership.members;
    std::vector<std::size_t> cutOff;
    std::size_t connected = 0;
    for (std::size_t node = 0; node < ownersAtFirst; ++node) {
        const auto rank = static_cast<std::size_t>(std::ranges::find(members, world.nodes[node].listed.name) - members.begin());
        if (rank + count < members.size()) {
            connected = node;
            continue;
        }
        cutOff.push_back(node);
        world.nodes[node].part = static_cast<int>(cutOff.size());
        world.cutStore(node, true);
    }
    for (std::size_t added = 0; added < ownersAtFirst; ++added) {
        world.addNode(false);
    }
    world.runUntil(world.now + std::chrono::seconds(40));
    // More than the whole limit from one that is connected, more than a share from each other one.
    const auto demand = [&](std::size_t node, double perSecond) {
        const auto interval = duration(static_cast<std::int64_t>(1e6 / perSecond));
        for (duration after{}; after < std::chrono::seconds(12); after += interval) {
            world.at(world.now + after, [&world, node] {
                world.operate(node, workspaceName, false);
            });
        }
    };
    demand(connected, 1.5 * limit.operationsPerSecond);
    for (const std::size_t node : cutOff) {
        demand(node, 2 * limit.operationsPerSecond / ownersAtFirst);
    }
    world.runUntil(world.now + std::chrono::seconds(13));
    std::string description;
    return world.worstWindow(description);
}

} // namespace

TEST_GROUP(limit_history){};

TEST(limit_history, limitsHoldInEveryWindowWhateverFails)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const limit_history_result result = runHistoryWithFaults(seed);
        if (result.worstWindow > 1) {
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.description.c_str());
        }
        CHECK_TRUE(result.worstWindow <= 1);
    }
}

TEST(limit_history, demandWithinTheLimitsIsServed)
{
    std::uint64_t refused = 0;
    std::uint64_t served = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const limit_history_result result = runSteadyHistory(seed);
        CHECK_TRUE(result.worstWindow <= 1);
        refused += result.owedRefused;
        served += result.owedServed;
    }
    CHECK_TRUE(served > 10000);
    CHECK_TRUE(refused * 1000 < served);
}

TEST(limit_history, oneInstanceServesTheWholeLimit)
{
    running_world run(1);
    CHECK_EQUAL(50, run.servedWithin(std::chrono::milliseconds(10), 0, std::chrono::microseconds(200)));
    run.servedWithin(std::chrono::seconds(1), 0, std::chrono::milliseconds(5));
    const std::uint64_t served = run.servedWithin(std::chrono::seconds(5), 0, std::chrono::milliseconds(5));
    CHECK_TRUE(served >= 495);
    CHECK_TRUE(served <= 510);
}

TEST(limit_history, anInstanceThatIsCutOffServesItsShare)
{
    running_world run(10);
    run.world.nodes[3].part = 1;
    run.servedWithin(std::chrono::seconds(6), 3, std::chrono::milliseconds(10));
    const std::uint64_t served = run.servedWithin(std::chrono::seconds(5), 3, std::chrono::milliseconds(10));
    CHECK_TRUE(served >= 45);
    CHECK_TRUE(served <= 60);
}

TEST(limit_history, withoutTheStoreAllIsServed)
{
    running_world run(30);
    for (std::size_t node = 0; node < run.world.nodes.size(); ++node) {
        run.world.cutStore(node, true);
    }
    for (int second = 0; second < 10; ++second) {
        run.servedWithin(std::chrono::seconds(1), static_cast<std::size_t>(second), std::chrono::milliseconds(15));
    }
    CHECK_EQUAL(0, run.world.owedRefused);
}

TEST(limit_history, anotherPoolServesSoonAfterOneIsLost)
{
    running_world run(40);
    const std::size_t pool = run.pool();
    CHECK_TRUE(pool < run.world.nodes.size());
    const std::size_t spender = pool == 0 ? 1 : 0;
    run.servedWithin(std::chrono::seconds(2), spender, std::chrono::milliseconds(20));
    run.world.kill(pool);
    const time_point killedAt = run.world.now;
    run.servedWithin(std::chrono::milliseconds(2500), spender, std::chrono::milliseconds(20));
    const std::vector<time_point> &runs = run.world.runs[workspaceName];
    const auto first = std::ranges::upper_bound(runs, killedAt + std::chrono::milliseconds(100));
    CHECK_TRUE(first != runs.end());
    std::printf("served again after %lld ms\n", static_cast<long long>((*first - killedAt).count() / 1000));
    // The rest of a loan, and two polls and requests. The bucket of the new pool is empty, so that some are refused at first.
    CHECK_TRUE(*first - killedAt < std::chrono::milliseconds(1800));
    run.world.owedRefused = 0;
    run.servedWithin(std::chrono::seconds(3), spender, std::chrono::milliseconds(20));
    CHECK_EQUAL(0, run.world.owedRefused);
}

TEST(limit_history, aSpenderCutFromItsPoolIsServedWhileOthersReachBoth)
{
    std::uint64_t fewest = 250;
    for (const std::size_t count : {10U, 40U}) {
        running_world run(count);
        const std::size_t pool = run.pool();
        CHECK_TRUE(pool < run.world.nodes.size());
        const std::size_t spender = pool == 0 ? 1 : 0;
        run.world.cutLink(pool, spender, true);
        run.servedWithin(std::chrono::seconds(3), spender, std::chrono::milliseconds(20));
        const std::uint64_t served = run.servedWithin(std::chrono::seconds(5), spender, std::chrono::milliseconds(20));
        std::printf("%zu instances: served %llu of 250\n", count, static_cast<unsigned long long>(served));
        fewest = std::min(fewest, served);
    }
    // Half of the limit is asked for.
    CHECK_TRUE(fewest >= 225);
}

TEST(limit_history, membersThatKnowOnlyAListOf40SecondsAgoDoNotExceedTheLimit)
{
    double fullest = 0;
    for (const std::size_t count : {1U, 2U, 4U, 8U}) {
        const double used = fullestWindowWithOldLists(count);
        std::printf("%zu members with an old list: fullest window %.3f of what is allowed\n", count, used);
        fullest = std::max(fullest, used);
    }
    CHECK_TRUE(fullest <= 1);
}

TEST(limit_history, aMemberThatLivesThoughItsEntryWasRemovedDoesNotExceedTheLimitWithTheOthers)
{
    // Neither the store nor another instance can tell it that its entry is gone; the databases are in its reach.
    running_world run(4);
    limit_world &world = run.world;
    world.nodes[3].part = 1;
    world.cutStore(3, true);
    world.runUntil(world.now + std::chrono::seconds(20));
    world.removeEntry(3);
    world.runUntil(world.now + std::chrono::seconds(20));
    for (int step = 0; step < 6000; ++step) {
        world.at(world.now + std::chrono::milliseconds(2) * step, [&world, step] {
            world.operate(step % 2 == 0 ? 0 : 3, workspaceName, false);
        });
    }
    world.runUntil(world.now + std::chrono::seconds(13));
    std::string description;
    CHECK_TRUE_TEXT(world.worstWindow(description) <= 1, description.c_str());
}

TEST(limit_history, aStartedInstanceOwnsNothingUntilItsPredecessorsLoansHaveEnded)
{
    running_world run(1);
    run.world.kill(0);
    run.world.restart(0);
    run.servedWithin(std::chrono::milliseconds(1000), 0, std::chrono::milliseconds(100));
    CHECK_EQUAL(0, run.world.served);
    run.world.runUntil(run.world.now + std::chrono::seconds(1));
    CHECK_TRUE(run.world.served > 0);
}

TEST(limit_history, aRaisedLimitServesAtOnceAndALoweredOneBinds)
{
    running_world run(20, {10, 5});
    run.servedWithin(std::chrono::seconds(5), 2, std::chrono::milliseconds(10));
    run.world.setLimits({{workspaceName, {80, 5}}});
    run.world.runUntil(run.world.now + std::chrono::milliseconds(1600));
    CHECK_TRUE(run.servedWithin(std::chrono::seconds(2), 2, std::chrono::milliseconds(10)) >= 140);
    run.world.setLimits({{workspaceName, {10, 5}}});
    run.world.runUntil(run.world.now + std::chrono::milliseconds(1600));
    CHECK_TRUE(run.servedWithin(std::chrono::seconds(5), 2, std::chrono::milliseconds(10)) <= 75);
}

TEST(limit_history, aWorkspaceWithoutAnOperationAllowedIsRefused)
{
    running_world run(3, {0, 0});
    CHECK_EQUAL(0, run.servedWithin(std::chrono::seconds(5), 1, std::chrono::milliseconds(100)));
    CHECK_TRUE(run.world.owedRefused > 0);
}

TEST(limit_history, withoutLimitsNothingIsSent)
{
    limit_world world(3);
    for (int number = 0; number < 10; ++number) {
        world.addNode(true);
    }
    world.setLimits({});
    world.runUntil(time_point(std::chrono::seconds(5)));
    world.operate(2, workspaceName, true);
    CHECK_EQUAL(1, world.served);
    CHECK_EQUAL(0, world.messages);
}
