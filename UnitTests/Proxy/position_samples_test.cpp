#include "mustardrouter/Proxy/position_samples.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

log_entry entry(std::uint64_t term, std::uint64_t number)
{
    return {term_number(term), log_position(number)};
}

} // namespace

TEST_GROUP(position_samples){};

TEST(position_samples, floorIsTheFirstSampleRequestedAtOrAfterTheInstant)
{
    position_samples history;
    addSample(history, time_point(1s), entry(1, 10));
    addSample(history, time_point(2s), entry(1, 20));
    addSample(history, time_point(3s), entry(1, 30));
    CHECK_TRUE(*floorAt(history, time_point(1500ms)) == entry(1, 20));
    CHECK_TRUE(*floorAt(history, time_point(2s)) == entry(1, 20));
    CHECK_FALSE(floorAt(history, time_point(3001ms)).has_value());
}

TEST(position_samples, olderSampleIsIgnored)
{
    position_samples history;
    addSample(history, time_point(2s), entry(1, 20));
    addSample(history, time_point(1s), entry(1, 30));
    CHECK_TRUE(*floorAt(history, time_point(0s)) == entry(1, 20));
}

TEST(position_samples, shorterLogOrNewTermClearsSamples)
{
    position_samples history;
    addSample(history, time_point(1s), entry(1, 20));
    addSample(history, time_point(2s), entry(1, 15));
    CHECK_TRUE(*floorAt(history, time_point(0s)) == entry(1, 15));
    addSample(history, time_point(3s), entry(2, 16));
    CHECK_TRUE(*floorAt(history, time_point(0s)) == entry(2, 16));
}

TEST(position_samples, sampleCountIsBoundedAtAnyRate)
{
    position_samples history;
    for (int step = 1; step <= 10000; ++step) {
        addSample(history, time_point(1ms * step), entry(1, static_cast<std::uint64_t>(step)));
    }
    CHECK_TRUE(history.samples.size() <= 32);
    // A floor for reads with a maximum age of 2.5 s is still known.
    CHECK_TRUE(floorAt(history, time_point(7500ms))->position.value() <= 7800);
}
