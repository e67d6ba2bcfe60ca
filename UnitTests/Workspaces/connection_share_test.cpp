#include "mustardrouter/Workspaces/connection_share.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

const workspace_name red("red");
const workspace_name blue("blue");
const workspace_name green("green");
const time_point start{1000s};

/// A request of red at `start` with no room for another connection.
struct request_of_red : share_request {
    std::set<workspace_name> waitingSet;
    std::vector<connection_claim> claimList;
    request_of_red()
    {
        workspace = red;
        now = start;
        waiting = &waitingSet;
        claims = &claimList;
    }
    request_of_red(const request_of_red &) = delete;
    request_of_red &operator=(const request_of_red &) = delete;
    void add(const workspace_name &owner, bool idle, duration idleFor = 10ms, bool opening = false)
    {
        connections.push_back({owner, opening, idle, start - idleFor});
    }
};

} // namespace

TEST_GROUP(connection_share){};

TEST(connection_share, anOwnIdleConnectionIsUsedAndOneThatOpensIsAwaited)
{
    request_of_red request;
    request.mayOpen = true;
    request.add(blue, true);
    CHECK_TRUE(decideShare(request).step == share_step::open);
    request.add(red, false, 0ms, true);
    CHECK_TRUE(decideShare(request).step == share_step::wait);
    request.add(red, true);
    CHECK_TRUE(decideShare(request).step == share_step::use);
    CHECK_EQUAL(2, decideShare(request).index);
}

TEST(connection_share, theLeastRecentlyUsedIdleConnectionOfAnotherIsReplaced)
{
    request_of_red request;
    request.add(blue, true, 20ms);
    request.add(green, true, 30ms);
    request.add(blue, false, 40ms);
    const share_decision decision = decideShare(request);
    CHECK_TRUE(decision.step == share_step::replace && decision.workspace == red);
    CHECK_EQUAL(1, decision.index);
}

TEST(connection_share, aConnectionJustUsedIsNotTakenFromAWorkspaceThatWaits)
{
    request_of_red request;
    request.add(blue, true, 99ms);
    request.waitingSet = {blue, red};
    const share_decision decision = decideShare(request);
    CHECK_TRUE(decision.step == share_step::wait && decision.retryAt == start + 1ms);
    request.claimList = {{red, start - 120ms, start - 1ms}};
    CHECK_TRUE(decideShare(request).step == share_step::replace);
    request.claimList.clear();
    request.connections[0].since = start - 100ms;
    CHECK_TRUE(decideShare(request).step == share_step::replace);
}

TEST(connection_share, aWorkspaceWithAConnectionTakesOnlyOneThatHasBeenIdleForLonger)
{
    request_of_red request;
    request.add(red, false);
    request.add(blue, true, 199ms);
    CHECK_TRUE(decideShare(request).step == share_step::wait);
    CHECK_TRUE(decideShare(request).retryAt == start + 1ms);
    request.connections[1].since = start - 200ms;
    CHECK_TRUE(decideShare(request).step == share_step::replace);
    request.waitingSet = {blue};
    CHECK_TRUE(decideShare(request).step == share_step::wait);
}

TEST(connection_share, aDueClaimOfAnotherTakesTheNextIdleConnection)
{
    request_of_red request;
    request.add(red, true);
    request.add(red, false);
    request.claimList = {{blue, start - 119ms, start}, {green, start - 119ms, start}};
    CHECK_TRUE(decideShare(request).step == share_step::use);
    request.claimList = {{blue, start - 130ms, start}, {green, start - 140ms, start}};
    CHECK_TRUE(decideShare(request).step == share_step::replace && decideShare(request).workspace == green);
    // One is opening for it already.
    request.add(green, false, 0ms, true);
    CHECK_TRUE(decideShare(request).workspace == blue);
    // There is room, so the claimant can open one.
    request.mayOpen = true;
    CHECK_TRUE(decideShare(request).step == share_step::use);
    // Nobody has renewed it.
    request.mayOpen = false;
    request.claimList = {{blue, start - 5s, start - 1s}};
    CHECK_TRUE(decideShare(request).step == share_step::use);
}

TEST(connection_share, aClaimKeepsItsAgeWhileItIsRenewed)
{
    std::vector<connection_claim> claims;
    claimConnection(claims, red, start);
    claimConnection(claims, red, start + 500ms);
    CHECK_EQUAL(1, claims.size());
    CHECK_TRUE(claims[0].since == start && claims[0].renewedAt == start + 500ms);
    claimConnection(claims, blue, start + 600ms);
    claimConnection(claims, red, start + 1500ms);
    CHECK_TRUE(claims[0].since == start + 1500ms);
    settleClaim(claims, green, start + 1599ms);
    CHECK_EQUAL(2, claims.size());
    settleClaim(claims, red, start + 1600ms);
    CHECK_TRUE(claims.empty());
}

namespace
{

/// What a workspace asks of one instance with four connections to one database, played in steps of a millisecond.
struct played_load {
    struct waiting_statement {
        workspace_name owner;
        time_point since;
    };
    struct connection {
        shared_connection shared;
        time_point until{};
    };
    std::vector<connection> connections;
    std::deque<waiting_statement> queue;
    std::vector<connection_claim> claims;
    std::map<workspace_name, duration> longestWait;
    std::map<workspace_name, int> served;
    int opened = 0;
    time_point now = start;

    void step()
    {
        now += 1ms;
        for (connection &one : connections) {
            if (!one.shared.idle && one.until <= now) {
                one.shared.idle = true;
                one.shared.opening = false;
                one.shared.since = now;
            }
        }
        std::set<workspace_name> waiting;
        for (const waiting_statement &statement : queue) {
            waiting.insert(statement.owner);
        }
        for (auto it = queue.begin(); it != queue.end();) {
            it = serve(*it, waiting) ? queue.erase(it) : it + 1;
        }
    }
    bool serve(const waiting_statement &statement, const std::set<workspace_name> &waiting)
    {
        share_request request;
        request.workspace = statement.owner;
        request.mayOpen = connections.size() < 4;
        request.waiting = &waiting;
        request.claims = &claims;
        request.now = now;
        for (const connection &one : connections) {
            request.connections.push_back(one.shared);
        }
        const share_decision decision = decideShare(request);
        if (decision.step == share_step::use) {
            connections[decision.index].shared.idle = false;
            connections[decision.index].until = now + 24ms;
            longestWait[statement.owner] = std::max(longestWait[statement.owner], now - statement.since);
            served[statement.owner] += 1;
            return true;
        }
        if (decision.step == share_step::wait) {
            const bool hasOne = std::ranges::any_of(connections, [&](const connection &one) {
                return one.shared.workspace == statement.owner;
            });
            if (!hasOne) {
                claimConnection(claims, statement.owner, now);
            }
            return false;
        }
        if (decision.step == share_step::replace) {
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(decision.index));
        }
        // 12 ms of a slot, and 20 ms for each of three crossings.
        connections.push_back({{decision.workspace, true, false, now}, now + 72ms});
        settleClaim(claims, decision.workspace, now);
        opened += 1;
        return false;
    }
};

} // namespace

TEST(connection_share, aSmallWorkspaceIsServedInTimeBesideALargeOneThatAlwaysWaits)
{
    played_load load;
    int asked = 0;
    for (int millis = 0; millis < 20000; ++millis) {
        while (std::ranges::count(load.queue, red, &played_load::waiting_statement::owner) < 20) {
            load.queue.push_front({red, load.now});
        }
        if (millis % 500 == 0) {
            asked += 1;
            load.queue.push_back({blue, load.now});
        }
        load.step();
    }
    CHECK_EQUAL(asked, load.served[blue]);
    CHECK_TRUE(load.longestWait[blue] <= 600ms);
    // The large one gets three of four connections all the time, at 24 ms a statement.
    CHECK_TRUE(load.served[red] >= 20000 / 24 * 3);
    CHECK_TRUE(load.opened <= 2 * asked + 4);
}

TEST(connection_share, manyWorkspacesShareFourConnectionsWithAtMostOneNewConnectionForEachStatement)
{
    played_load load;
    std::mt19937_64 random(3);
    int asked = 0;
    for (int millis = 0; millis < 30000; ++millis) {
        // Skewed: the first of 85 sends a third of 25 a second.
        if (random() % 40 == 0) {
            asked += 1;
            const bool first = random() % 3 == 0;
            load.queue.push_back({workspace_name("w" + std::to_string(first ? 0 : random() % 85)), load.now});
        }
        load.step();
    }
    for (int millis = 0; millis < 1000; ++millis) {
        load.step();
    }
    CHECK_TRUE(load.queue.empty());
    for (const auto &[name, waited] : load.longestWait) {
        CHECK_TRUE(waited <= 600ms);
    }
    CHECK_TRUE(load.opened <= asked);
}
