#include "mustardrouter/Instance/wakeup_list.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

time_point at(int milliseconds)
{
    return time_point(std::chrono::milliseconds(milliseconds));
}

} // namespace

// clang-format off
TEST_GROUP(wakeup_list) {};
// clang-format on

TEST(wakeup_list, returnsGroupsThatAreDue)
{
    wakeup_list wakeups;
    wakeups.set(group_name("early"), at(10));
    wakeups.set(group_name("late"), at(30));
    wakeups.set(group_name("never"), time_point::max());
    CHECK(wakeups.due(at(9)).empty());
    CHECK(wakeups.due(at(20)) == std::vector<group_name>{group_name("early")});
    CHECK_EQUAL(2, wakeups.due(at(30)).size());
}

TEST(wakeup_list, aNewWakeupTimeReplacesTheOldOne)
{
    wakeup_list wakeups;
    wakeups.set(group_name("g"), at(10));
    wakeups.set(group_name("g"), at(50));
    CHECK(wakeups.due(at(20)).empty());
    wakeups.set(group_name("g"), time_point::max());
    CHECK(wakeups.due(at(100)).empty());
    wakeups.set(group_name("g"), at(60));
    CHECK_EQUAL(1, wakeups.due(at(60)).size());
}
