#include "mustardrouter/Sessions/position_history.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

time_point at(int milliseconds)
{
    return time_point(std::chrono::milliseconds(milliseconds));
}

} // namespace

TEST_GROUP(position_history){};

TEST(position_history, theNextSampleBoundsThePositionOfThePrimary)
{
    position_history history;
    recordPosition(history, at(10), log_position(5));
    recordPosition(history, at(20), log_position(8));
    CHECK(positionUpperBound(history, at(5)) == log_position(5));
    CHECK(positionUpperBound(history, at(10)) == log_position(5));
    CHECK(positionUpperBound(history, at(11)) == log_position(8));
}

TEST(position_history, hasNoBoundAfterTheLastSample)
{
    position_history history;
    CHECK(!positionUpperBound(history, at(0)));
    recordPosition(history, at(10), log_position(5));
    CHECK(!positionUpperBound(history, at(11)));
}

TEST(position_history, ignoresReportsOutOfOrderAndIsBounded)
{
    position_history history;
    recordPosition(history, at(10), log_position(5));
    recordPosition(history, at(9), log_position(4));
    CHECK_EQUAL(1U, history.samples.size());
    for (int tick = 11; tick < 5000; ++tick) {
        recordPosition(history, at(tick), log_position(static_cast<std::uint64_t>(tick)));
    }
    CHECK(history.samples.size() <= 2048);
}
