#include "mustardrouter/Admission/catch_up.h"
#include "mustardrouter/Admission/database_choice.h"
#include "mustardrouter/Admission/waiting_time.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

read_candidate replica(std::size_t index, std::uint64_t applied, std::size_t freeSlots, double serviceMicros)
{
    read_candidate made;
    made.index = index;
    made.usable = true;
    made.applied = log_position(applied);
    made.freeSlots = freeSlots;
    made.serviceMicros = serviceMicros;
    return made;
}

} // namespace

TEST_GROUP(database_choice){};

TEST(database_choice, noReadRunsBelowItsFloorOrWithoutASlot)
{
    CHECK(rc::check("freshness first", [] {
        std::vector<read_candidate> candidates;
        const auto count = *rc::gen::inRange<std::size_t>(0, 5);
        for (std::size_t index = 0; index < count; ++index) {
            read_candidate made = replica(index, *rc::gen::inRange(0, 10), *rc::gen::inRange(0, 3), *rc::gen::inRange(1, 100));
            made.usable = *rc::gen::arbitrary<bool>();
            made.ejected = *rc::gen::arbitrary<bool>();
            made.primary = index == 0;
            candidates.push_back(made);
        }
        const log_position floor(*rc::gen::inRange(0, 10));
        const read_choice choice = chooseForRead(candidates, floor);
        bool fresh = false;
        for (const read_candidate &candidate : candidates) {
            fresh = fresh || (candidate.usable && !candidate.primary && candidate.applied >= floor);
        }
        RC_ASSERT(fresh == (choice.action != read_choice::kind::noneFresh));
        if (choice.action == read_choice::kind::run) {
            const read_candidate &chosen = candidates.at(choice.index);
            RC_ASSERT(chosen.usable && !chosen.primary && chosen.freeSlots > 0U && chosen.applied >= floor);
        }
    }));
}

TEST(database_choice, theReplicaThatIsExpectedToAnswerFirstIsChosen)
{
    std::vector<read_candidate> candidates{replica(0, 5, 1, 4000), replica(1, 5, 1, 1000)};
    candidates[1].running = 2;
    LONGS_EQUAL(1, chooseForRead(candidates, log_position(5)).index);
    candidates[1].running = 4;
    LONGS_EQUAL(0, chooseForRead(candidates, log_position(5)).index);
}

TEST(database_choice, anEjectedReplicaServesOnlyWhenItAloneIsFresh)
{
    std::vector<read_candidate> candidates{replica(0, 5, 1, 1000), replica(1, 5, 0, 9000)};
    candidates[0].ejected = true;
    CHECK(chooseForRead(candidates, log_position(5)).action == read_choice::kind::waitForSlot);
    candidates[1].applied = log_position(4);
    CHECK(chooseForRead(candidates, log_position(5)).action == read_choice::kind::run);
}

TEST(database_choice, theExpectedCatchUpFollowsTheMeasuredLag)
{
    catch_up_estimate estimate;
    const database_name name("r");
    for (std::uint64_t step = 1; step <= 20; ++step) {
        const time_point appended(step * 10ms);
        recordPrimaryPosition(estimate, log_position(step), appended);
        if (step > 10) {
            recordReplicaPosition(estimate, name, log_position(step - 10), appended);
        }
    }
    // The replica is 100 ms behind; position 20 was appended just now, position 15 was 50 ms ago.
    const time_point now(200ms);
    LONGS_EQUAL(0, expectedCatchUp(estimate, name, log_position(10), now).count());
    LONGS_EQUAL(100000, expectedCatchUp(estimate, name, log_position(20), now).count());
    LONGS_EQUAL(50000, expectedCatchUp(estimate, name, log_position(15), now).count());
}

TEST(database_choice, aRequestIsRefusedOnlyWhenAQueueMakesItLate)
{
    const server_capacity capacity{10000, 5, 5};
    CHECK(!retryAfterIfLate(capacity, 0, 1s, 1ms));
    CHECK(!retryAfterIfLate(capacity, 100, 0ms, 1s));
    const auto retryAfter = retryAfterIfLate(capacity, 500, 0ms, 500ms);
    CHECK(retryAfter.has_value());
    CHECK(*retryAfter > 500ms);
    // Few requests are ahead, but the measured wait of their class is long.
    CHECK(retryAfterIfLate(capacity, 10, 900ms, 1s).has_value());
}
