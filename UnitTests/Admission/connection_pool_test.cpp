#include "mustardrouter/Admission/connection_pool.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

connection_pool withOpen(pool_limits limits, std::uint64_t count)
{
    connection_pool pool(limits);
    for (std::uint64_t id = 1; id <= count; ++id) {
        addConnection(pool, connection_id(id), time_point());
        markOpened(pool, connection_id(id), time_point());
    }
    return pool;
}

void checkCounts(const connection_pool &pool)
{
    std::array<std::uint32_t, connectionStateCount> counted{};
    for (const pooled_connection &connection : pool.connections) {
        ++counted[static_cast<std::size_t>(connection.state)];
    }
    RC_ASSERT(counted == pool.counts);
    RC_ASSERT(pool.running == countOf(pool, connection_state::running));
    RC_ASSERT(pool.running <= pool.limits.slots);
    RC_ASSERT(pool.connections.size() <= pool.limits.connections);
    RC_ASSERT(countOf(pool, connection_state::opening) <= pool.limits.slots);
}

} // namespace

TEST_GROUP(connection_pool){};

TEST(connection_pool, limitsHoldAndCountsAreExactAfterAnyOperations)
{
    CHECK(rc::check("limits and counts", [](const std::vector<std::uint16_t> &randomValues) {
        connection_pool pool(pool_limits{*rc::gen::inRange<std::uint32_t>(1, 4), *rc::gen::inRange<std::uint32_t>(1, 8)});
        std::uint64_t nextId = 1;
        time_point now;
        for (const std::uint16_t random : randomValues) {
            now += 1ms;
            const connection_id any(1 + random / 8 % nextId);
            const pooled_connection *connection = findConnection(pool, any);
            switch (random % 8) {
            case 0:
            case 1:
                if (shouldOpen(pool, random / 8 % 16, now) || shouldPreopen(pool, now)) {
                    addConnection(pool, connection_id(nextId++), now);
                }
                break;
            case 2:
                markOpened(pool, any, now);
                break;
            case 3:
                acquireConnection(pool, now);
                break;
            case 4:
                releaseConnection(pool, any, random % 16 < 8, now);
                break;
            case 5:
                removeConnection(pool, any);
                break;
            case 6:
                unpinConnection(pool, any, now);
                break;
            default:
                if (connection != nullptr && connection->state == connection_state::pinned && hasFreeSlot(pool)) {
                    resumeConnection(pool, any, now);
                }
                break;
            }
            checkCounts(pool);
        }
    }));
}

TEST(connection_pool, aConnectionIsUnresponsiveOnlyWhileOthersAreAnswered)
{
    connection_pool pool = withOpen({2, 4}, 2);
    const connection_id stuck = acquireConnection(pool, time_point(0ms)).value();
    const connection_id fine = acquireConnection(pool, time_point(0ms)).value();
    LONGS_EQUAL(0, findUnresponsive(pool, 1s, time_point(0ms), time_point(5s)).size());
    releaseConnection(pool, fine, false, time_point(2s));
    const auto unresponsive = findUnresponsive(pool, 1s, time_point(0ms), time_point(5s));
    LONGS_EQUAL(1, unresponsive.size());
    CHECK(unresponsive[0] == stuck);
}

TEST(connection_pool, surplusConnectionsAreClosedDownToOneForEachSlot)
{
    connection_pool pool = withOpen({2, 8}, 5);
    int closed = 0;
    while (const auto unused = findSurplusIdle(pool, 30s, time_point(60s))) {
        removeConnection(pool, *unused);
        ++closed;
    }
    LONGS_EQUAL(3, closed);
    CHECK(!findSurplusIdle(withOpen({2, 8}, 5), 30s, time_point(10s)));
}

TEST(connection_pool, theShareOfASlowReplicaShrinksAndRecoversGradually)
{
    connection_pool pool({2, 8});
    pool.serviceMicros = 100000;
    for (int round = 0; round < 10; ++round) {
        adjustAdmittedShare(pool, 2000);
    }
    CHECK(pool.admittedShare < 0.1);
    pool.serviceMicros = 2000;
    adjustAdmittedShare(pool, 2000);
    CHECK(pool.admittedShare < 0.5);
    for (int round = 0; round < 40; ++round) {
        adjustAdmittedShare(pool, 2000);
    }
    DOUBLES_EQUAL(1, pool.admittedShare, 1e-9);
}
