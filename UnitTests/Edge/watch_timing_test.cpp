#include "mustardrouter/Edge/watch_timing.h"
#include "mustardrouter/Membership/feed_settings.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(watch_timing){};

TEST(watch_timing, aRequestLostAtTheEndOfAnOutageIsRepeatedWithinTheStableWindow)
{
    // Three crossings for the new connection and the answer, between regions 20 ms apart, and a slow store.
    constexpr duration repetition = 3 * 20ms + 400ms;
    for (const duration window : {2000ms, 5000ms, 6000ms, 8000ms, 20000ms}) {
        const watch_timing timing = watchTimingFor(window);
        CHECK_TRUE(timing.held > duration{});
        CHECK_TRUE(timing.timeout >= timing.held + 400ms + 2 * 20ms);
        CHECK_TRUE(timing.timeout + repetition <= window);
    }
}

TEST(watch_timing, windowsOutOfRangeLeaveAUsableTime)
{
    for (const duration window : {duration{}, duration(1ms), duration(3600s)}) {
        const watch_timing timing = watchTimingFor(window);
        CHECK_TRUE(timing.held >= 500ms && timing.held <= 30s);
        CHECK_TRUE(timing.timeout > timing.held);
    }
}

TEST(watch_timing, afterTheNoticeOfALeavingPrimaryThereIsTimeToReplaceIt)
{
    for (const duration drainTime : {duration(7s), duration(10s)}) {
        // The copy may have been complete last when the request was sent that is given up, and the repetition is answered.
        const watch_timing timing = databaseWatchTimingFor(30s, drainTime);
        CHECK_TRUE(timing.timeout + 500ms + replacementTime + leavingMargin <= drainTime);
    }
}
