#include "mustardrouter/Proxy/link_choice.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

link_option near()
{
    return {30'000, false, true, false, {}};
}

link_option far()
{
    return {75'000, false, true, false, {}};
}

} // namespace

TEST_GROUP(link_choice){};

TEST(link_choice, onlyTheBestIsOpenedWhenNothingIsOpen)
{
    const link_choice choice = chooseLink({near(), far(), far()});
    CHECK_EQUAL(3U, choice.take);
    CHECK_EQUAL(0U, choice.open);
}

TEST(link_choice, nothingElseIsOpenedWhileOneIsBeingOpened)
{
    link_option opening = near();
    opening.opening = true;
    opening.openingFor = 60ms;
    const link_choice choice = chooseLink({far(), opening, far()});
    CHECK_EQUAL(3U, choice.take);
    CHECK_EQUAL(3U, choice.open);
}

TEST(link_choice, anotherIsTriedBesideOneThatDoesNotComeAbout)
{
    link_option dark = near();
    dark.opening = true;
    dark.mayOpen = false;
    dark.openingFor = 200ms;
    const link_choice choice = chooseLink({dark, far()});
    CHECK_EQUAL(1U, choice.open);
}

TEST(link_choice, aFreeConnectionServesAndAMuchBetterOneIsOpenedBeside)
{
    link_option free = far();
    free.idle = true;
    const link_choice fromFar = chooseLink({near(), free});
    CHECK_EQUAL(1U, fromFar.take);
    CHECK_EQUAL(0U, fromFar.open);
    link_option region = near();
    region.expectedMicros = 34'000;
    region.idle = true;
    const link_choice fromRegion = chooseLink({near(), region});
    CHECK_EQUAL(1U, fromRegion.take);
    CHECK_EQUAL(2U, fromRegion.open);
    CHECK_EQUAL(0U, chooseLink({region, near()}).take);
}

TEST(link_choice, aBestThatMayNotBeOpenedLeavesItToTheNext)
{
    link_option full = near();
    full.mayOpen = false;
    CHECK_EQUAL(1U, chooseLink({full, far()}).open);
    CHECK_EQUAL(1U, chooseLink({full}).open);
    CHECK_EQUAL(0U, chooseLink({}).take);
}

// A start of 139 instances at once, each with a statement for each of 8 groups of 3 databases: connections that are opened
// by the naive way (to every database) and by this one, until each statement has one.
TEST(link_choice, aStartOfAllInstancesOpensOneConnectionForAGroupAndNotThree)
{
    constexpr int instances = 139;
    constexpr int groups = 8;
    int naive = 0;
    int chosen = 0;
    for (int pair = 0; pair < instances * groups; ++pair) {
        std::vector<link_option> options{near(), far(), far()};
        // Five statements come while the first connection is being opened.
        for (int statement = 0; statement < 5; ++statement) {
            const link_choice choice = chooseLink(options);
            if (choice.open < options.size()) {
                options[choice.open].opening = true;
                options[choice.open].mayOpen = false;
                chosen += 1;
            }
        }
        naive += 3;
    }
    CHECK_EQUAL(3336, naive);
    CHECK_EQUAL(1112, chosen);
}
