#include "mustardrouter/Load/load_statistics.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

wire::result resultWith(wire::outcome_kind kind, bool fromReplica)
{
    wire::result result;
    result.set_outcome(kind);
    result.set_from_replica(fromReplica);
    result.set_database("d");
    return result;
}

} // namespace

TEST_GROUP(load_statistics){};

TEST(load_statistics, quantileIsTheValueOfNearestRank)
{
    CHECK(rc::check("quantile by nearest rank", [](const std::vector<double> &values) {
        RC_PRE(!values.empty());
        const double fraction = *rc::gen::inRange(1, 101) / 100.0;
        const double quantile = quantileOf(values, fraction);
        const auto atOrBelow = std::ranges::count_if(values, [&](double value) {
            return value <= quantile;
        });
        const auto below = std::ranges::count_if(values, [&](double value) {
            return value < quantile;
        });
        const auto size = static_cast<double>(values.size());
        RC_ASSERT(static_cast<double>(atOrBelow) >= fraction * size - 1e-9);
        RC_ASSERT(static_cast<double>(below) < fraction * size + 1e-9);
    }));
}

TEST(load_statistics, quantileOfNoValuesIsZero)
{
    DOUBLES_EQUAL(0, quantileOf({}, 0.5), 0);
}

TEST(load_statistics, replicaReadShareCountsDoneEligibleReadsAndPrimaryLoadCountsDoneStatements)
{
    load_statistics statistics;
    statement_origin read;
    read.replicaMayServe = true;
    const statement_origin write;
    recordAnswer(statistics, read, resultWith(wire::OUTCOME_DONE, true), 1ms, 0ms);
    recordAnswer(statistics, read, resultWith(wire::OUTCOME_DONE, true), 1ms, 0ms);
    recordAnswer(statistics, read, resultWith(wire::OUTCOME_DONE, false), 1ms, 0ms);
    recordAnswer(statistics, write, resultWith(wire::OUTCOME_DONE, false), 1ms, 0ms);
    recordAnswer(statistics, read, resultWith(wire::OUTCOME_UNKNOWN, true), 1ms, 0ms);
    DOUBLES_EQUAL(2.0 / 3, replicaReadShare(statistics), 1e-9);
    DOUBLES_EQUAL(0.5, primaryLoad(statistics), 1e-9);
}

TEST(load_statistics, answerCountsInTheSliceOfItsArrival)
{
    load_statistics statistics;
    recordAnswer(statistics, {}, resultWith(wire::OUTCOME_DONE, false), 3ms, sliceLength * 2 + 1ms);
    recordAnswer(statistics, {}, resultWith(wire::OUTCOME_NOT_RUN, false), 3ms, sliceLength - 1ms);
    LONGS_EQUAL(3, statistics.slices.size());
    LONGS_EQUAL(1, statistics.slices[0].notRun);
    LONGS_EQUAL(0, statistics.slices[1].done);
    LONGS_EQUAL(1, statistics.slices[2].done);
}
