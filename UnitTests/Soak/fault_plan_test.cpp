#include "mustardrouter/Soak/fault_plan.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(fault_plan){};

TEST(fault_plan, theSameSeedGivesTheSamePlanAndAnotherSeedAnother)
{
    CHECK_EQUAL(describe(makePlan(5, 60s)), describe(makePlan(5, 60s)));
    CHECK_FALSE(describe(makePlan(5, 60s)) == describe(makePlan(6, 60s)));
}

TEST(fault_plan, allFaultsEndBeforeTheQuietPhase)
{
    for (std::uint64_t index = 0; index < 800; ++index) {
        constexpr std::uint64_t firstSeeds[] = {0, 5'000, 10'000, 20'000, 40'000, 70'000};
        const std::uint64_t seed = firstSeeds[index % std::size(firstSeeds)] + index;
        const soak_plan plan = makePlan(seed, 60s);
        CHECK_TRUE(std::ranges::is_sorted(plan.faults, {}, &planned_fault::at));
        for (const planned_fault &fault : plan.faults) {
            const auto round = std::ranges::find_if(plan.rounds, [&](const soak_round &one) {
                return fault.at >= one.faultsFrom && fault.at < one.end;
            });
            CHECK_TRUE(round != plan.rounds.end());
            const bool planned = fault.at >= round->quietFrom;
            CHECK_TRUE(planned ? fault.length == duration{} : fault.length > duration{} && fault.at + fault.length <= round->quietFrom);
        }
    }
}

TEST(fault_plan, everyKindOfFaultIsDrawn)
{
    std::set<soak_fault> seen;
    for (const std::uint64_t first : {1, 5'000, 10'000, 60'000}) {
        for (std::uint64_t seed = first; seed < first + 200; ++seed) {
            for (const planned_fault &fault : makePlan(seed, 25s).faults) {
                seen.insert(fault.kind);
            }
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(soak_fault::count), seen.size());
}

TEST(fault_plan, instancesThatAreToStopAlsoStandStill)
{
    const soak_plan plan = makePlan(20'004, 25s);
    const auto paused = std::ranges::count_if(plan.faults, [&](const planned_fault &stop) {
        return stop.kind == soak_fault::instanceStop && std::ranges::any_of(plan.faults, [&](const planned_fault &pause) {
                   return pause.kind == soak_fault::instancePause && pause.target == stop.target && pause.at >= stop.at
                          && pause.at - stop.at <= 600ms;
               });
    });
    CHECK_TRUE(paused >= 4);
}

TEST(fault_plan, whereOnlyPlannedWorkIsPlayedInstancesAreStoppedAndNothingIsFaulty)
{
    constexpr soak_fault planned[] = {
        soak_fault::instanceStop, soak_fault::configurationChange, soak_fault::settingsReload, soak_fault::databaseLeaves};
    bool stopsOverlap = false;
    bool stopsAreInSeries = false;
    for (std::uint64_t seed = 40'000; seed < 40'050; ++seed) {
        CHECK_TRUE(playsPlannedWorkOnly(seed));
        const soak_plan plan = makePlan(seed, 25s);
        std::vector<duration> stops;
        for (const planned_fault &fault : plan.faults) {
            CHECK_TRUE(std::ranges::find(planned, fault.kind) != std::end(planned));
            if (fault.kind == soak_fault::instanceStop) {
                stops.push_back(fault.at);
            }
        }
        CHECK_TRUE(stops.size() >= 5);
        const duration firstFour = stops[3] - stops[0];
        stopsOverlap = stopsOverlap || firstFour < 1500ms;
        stopsAreInSeries = stopsAreInSeries || firstFour > 3s;
    }
    CHECK_TRUE(stopsOverlap);
    CHECK_TRUE(stopsAreInSeries);
    CHECK_FALSE(playsPlannedWorkOnly(39'999));
}

TEST(fault_plan, plansWithWorkspacesAreThoseOfTheSeedsForThem)
{
    const auto hasWorkspaceFaults = [](const soak_plan &plan) {
        return std::ranges::any_of(plan.faults, [](const planned_fault &fault) {
            return fault.kind > soak_fault::storeReturnsFromCopy;
        });
    };
    for (const std::uint64_t seed : {11, 12, 29, 118, 571, 203, 4'999, 10'000, 10'001, 29'999}) {
        CHECK_FALSE(playsWorkspaces(seed));
        CHECK_FALSE(hasWorkspaceFaults(makePlan(seed, 60s)));
    }
    for (const std::uint64_t seed : {5'000, 5'001, 9'999}) {
        CHECK_TRUE(playsWorkspaces(seed));
        CHECK_TRUE(hasWorkspaceFaults(makePlan(seed, 60s)));
    }
}
