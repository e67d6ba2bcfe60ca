#include "mustardrouter/Proxy/connection_choice.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

connection_option near()
{
    return {30'000, false, true, false, {}};
}

connection_option far()
{
    return {75'000, false, true, false, {}};
}

} // namespace

TEST_GROUP(connection_choice){};

TEST(connection_choice, onlyTheBestIsOpenedWhenNothingIsOpen)
{
    const connection_choice choice = chooseConnection({near(), far(), far()});
    CHECK_EQUAL(3U, choice.idleIndex);
    CHECK_EQUAL(0U, choice.openIndex);
}

TEST(connection_choice, nothingElseIsOpenedWhileOneIsBeingOpened)
{
    connection_option opening = near();
    opening.opening = true;
    opening.openingFor = 60ms;
    const connection_choice choice = chooseConnection({far(), opening, far()});
    CHECK_EQUAL(3U, choice.idleIndex);
    CHECK_EQUAL(3U, choice.openIndex);
}

TEST(connection_choice, anotherIsTriedBesideOneThatDoesNotComeAbout)
{
    connection_option dark = near();
    dark.opening = true;
    dark.mayOpen = false;
    dark.openingFor = 200ms;
    const connection_choice choice = chooseConnection({dark, far()});
    CHECK_EQUAL(1U, choice.openIndex);
}

TEST(connection_choice, aFreeConnectionServesAndAMuchBetterOneIsOpenedBeside)
{
    connection_option free = far();
    free.idle = true;
    const connection_choice fromFar = chooseConnection({near(), free});
    CHECK_EQUAL(1U, fromFar.idleIndex);
    CHECK_EQUAL(0U, fromFar.openIndex);
    connection_option region = near();
    region.expectedMicros = 34'000;
    region.idle = true;
    const connection_choice fromRegion = chooseConnection({near(), region});
    CHECK_EQUAL(1U, fromRegion.idleIndex);
    CHECK_EQUAL(2U, fromRegion.openIndex);
    CHECK_EQUAL(0U, chooseConnection({region, near()}).idleIndex);
}

TEST(connection_choice, aBestThatMayNotBeOpenedLeavesItToTheNext)
{
    connection_option full = near();
    full.mayOpen = false;
    CHECK_EQUAL(1U, chooseConnection({full, far()}).openIndex);
    CHECK_EQUAL(1U, chooseConnection({full}).openIndex);
    CHECK_EQUAL(0U, chooseConnection({}).idleIndex);
}

// A start of 139 instances at once, each with a statement for each of 8 groups of 3 databases: connections that are opened
// by the naive way (to every database) and by this one, until each statement has one.
TEST(connection_choice, aStartOfAllInstancesOpensOneConnectionForAGroupAndNotThree)
{
    constexpr int instances = 139;
    constexpr int groups = 8;
    int naive = 0;
    int chosen = 0;
    for (int pair = 0; pair < instances * groups; ++pair) {
        std::vector<connection_option> options{near(), far(), far()};
        // Five statements come while the first connection is being opened.
        for (int statement = 0; statement < 5; ++statement) {
            const connection_choice choice = chooseConnection(options);
            if (choice.openIndex < options.size()) {
                options[choice.openIndex].opening = true;
                options[choice.openIndex].mayOpen = false;
                chosen += 1;
            }
        }
        naive += 3;
    }
    CHECK_EQUAL(3336, naive);
    CHECK_EQUAL(1112, chosen);
}
