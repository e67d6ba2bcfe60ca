#include "mustardrouter/Proxy/connection_budget.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(connection_budget){};

TEST(connection_budget, theFirstConnectionIsAlwaysAllowed)
{
    CHECK_TRUE(mayOpenConnection({0, 0, 8, 89, 89, true}));
}

TEST(connection_budget, oneConnectionOpensAtATimeUpToTheLimit)
{
    CHECK_FALSE(mayOpenConnection({1, 1, 8, 0, 89, false}));
    CHECK_TRUE(mayOpenConnection({1, 0, 8, 0, 89, false}));
    CHECK_FALSE(mayOpenConnection({8, 0, 8, 0, 89, false}));
}

TEST(connection_budget, overloadedDatabaseGetsAtMostTwoConnections)
{
    CHECK_TRUE(mayOpenConnection({1, 0, 8, 0, 89, true}));
    CHECK_FALSE(mayOpenConnection({2, 0, 8, 0, 89, true}));
}

TEST(connection_budget, idleTimeoutShrinksAsConnectionsBecomeScarce)
{
    duration before = idleTimeoutOf({1, 0, 8, 0, 100, false});
    for (std::uint32_t totalConnections = 10; totalConnections <= 120; totalConnections += 10) {
        const duration timeout = idleTimeoutOf({1, 0, 8, totalConnections, 100, false});
        CHECK_TRUE(timeout <= before);
        CHECK_TRUE(timeout > duration{});
        before = timeout;
    }
    CHECK_TRUE(before < std::chrono::seconds(1));
}

TEST(connection_budget, overloadedDatabaseKeepsIdleConnectionsLonger)
{
    CHECK_TRUE(idleTimeoutOf({1, 0, 8, 100, 100, true}) > idleTimeoutOf({1, 0, 8, 100, 100, false}));
}
