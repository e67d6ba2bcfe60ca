#include "mustardrouter/Proxy/link_budget.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(link_budget){};

TEST(link_budget, theFirstConnectionIsAlwaysAllowed)
{
    CHECK_TRUE(mayOpenLink({0, 0, 8, 89, 89, true}));
}

TEST(link_budget, oneIsOpenedAtATimeUpToTheMost)
{
    CHECK_FALSE(mayOpenLink({1, 1, 8, 0, 89, false}));
    CHECK_TRUE(mayOpenLink({1, 0, 8, 0, 89, false}));
    CHECK_FALSE(mayOpenLink({8, 0, 8, 0, 89, false}));
}

TEST(link_budget, aFullDatabaseGetsNoMoreThanTwo)
{
    CHECK_TRUE(mayOpenLink({1, 0, 8, 0, 89, true}));
    CHECK_FALSE(mayOpenLink({2, 0, 8, 0, 89, true}));
}

TEST(link_budget, theScarcerConnectionsAreTheSoonerOneIsClosed)
{
    duration before = idleTimeoutOf({1, 0, 8, 0, 100, false});
    for (std::uint32_t taken = 10; taken <= 120; taken += 10) {
        const duration timeout = idleTimeoutOf({1, 0, 8, taken, 100, false});
        CHECK_TRUE(timeout <= before);
        CHECK_TRUE(timeout > duration{});
        before = timeout;
    }
    CHECK_TRUE(before < std::chrono::seconds(1));
}

TEST(link_budget, aFullDatabaseDoesNotPayForAConnectionThatIsClosedAndOpenedAgain)
{
    CHECK_TRUE(idleTimeoutOf({1, 0, 8, 100, 100, true}) > idleTimeoutOf({1, 0, 8, 100, 100, false}));
}
