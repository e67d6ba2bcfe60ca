#include "mustardrouter/Proxy/connection_choice.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

connection_option sameDataCentre()
{
    return {30'000, false, true, false, {}};
}

connection_option otherRegion()
{
    return {75'000, false, true, false, {}};
}

} // namespace

TEST_GROUP(connection_choice){};

TEST(connection_choice, opensOnlyTheBestWhenNoConnectionExists)
{
    const connection_choice choice = chooseConnection({sameDataCentre(), otherRegion(), otherRegion()});
    CHECK_EQUAL(3U, choice.idleIndex);
    CHECK_EQUAL(0U, choice.openIndex);
}

TEST(connection_choice, opensNothingElseWhileOneIsOpening)
{
    connection_option opening = sameDataCentre();
    opening.opening = true;
    opening.openingFor = 60ms;
    const connection_choice choice = chooseConnection({otherRegion(), opening, otherRegion()});
    CHECK_EQUAL(3U, choice.idleIndex);
    CHECK_EQUAL(3U, choice.openIndex);
}

TEST(connection_choice, opensAnotherWhenOneIsSlowToOpen)
{
    connection_option unresponsive = sameDataCentre();
    unresponsive.opening = true;
    unresponsive.mayOpen = false;
    unresponsive.openingFor = 200ms;
    const connection_choice choice = chooseConnection({unresponsive, otherRegion()});
    CHECK_EQUAL(1U, choice.openIndex);
}

TEST(connection_choice, usesAnIdleConnectionAndOpensAMuchFasterOne)
{
    connection_option withIdle = otherRegion();
    withIdle.idle = true;
    const connection_choice fromOtherRegion = chooseConnection({sameDataCentre(), withIdle});
    CHECK_EQUAL(1U, fromOtherRegion.idleIndex);
    CHECK_EQUAL(0U, fromOtherRegion.openIndex);
    connection_option sameRegion = sameDataCentre();
    sameRegion.expectedMicros = 34'000;
    sameRegion.idle = true;
    const connection_choice fromSameRegion = chooseConnection({sameDataCentre(), sameRegion});
    CHECK_EQUAL(1U, fromSameRegion.idleIndex);
    CHECK_EQUAL(2U, fromSameRegion.openIndex);
    CHECK_EQUAL(0U, chooseConnection({sameRegion, sameDataCentre()}).idleIndex);
}

TEST(connection_choice, opensTheNextWhenTheBestMayNotOpen)
{
    connection_option full = sameDataCentre();
    full.mayOpen = false;
    CHECK_EQUAL(1U, chooseConnection({full, otherRegion()}).openIndex);
    CHECK_EQUAL(1U, chooseConnection({full}).openIndex);
    CHECK_EQUAL(0U, chooseConnection({}).idleIndex);
}

// Guards against a connection storm: 139 instances start at once, each with statements for 8 groups of 3 databases.
// Compares the connections opened by one to every database with those that chooseConnection opens.
TEST(connection_choice, simultaneousStartOpensOneConnectionPerGroup)
{
    constexpr int instances = 139;
    constexpr int groups = 8;
    int oneToEachDatabase = 0;
    int opened = 0;
    for (int pair = 0; pair < instances * groups; ++pair) {
        std::vector<connection_option> options{sameDataCentre(), otherRegion(), otherRegion()};
        // Five statements arrive while the first connection is opening.
        for (int statement = 0; statement < 5; ++statement) {
            const connection_choice choice = chooseConnection(options);
            if (choice.openIndex < options.size()) {
                options[choice.openIndex].opening = true;
                options[choice.openIndex].mayOpen = false;
                opened += 1;
            }
        }
        oneToEachDatabase += 3;
    }
    CHECK_EQUAL(3336, oneToEachDatabase);
    CHECK_EQUAL(1112, opened);
}
