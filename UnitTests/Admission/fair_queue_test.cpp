#include "mustardrouter/Admission/fair_queue.h"

#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

waiting_request request(std::uint64_t id, const std::string &service, std::uint32_t weight)
{
    waiting_request made;
    made.id = request_id(id);
    made.what.service = service_name(service);
    made.what.weight = weight;
    return made;
}

void fill(fair_queue &queue, const std::string &service, std::uint32_t weight, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        waiting_request made = request(queue.size + 1000, service, weight);
        CHECK(append(queue, made));
    }
}

} // namespace

TEST_GROUP(fair_queue){};

TEST(fair_queue, busyClassesAreServedByWeight)
{
    CHECK(rc::check("shares follow weights", [] {
        const auto first = *rc::gen::inRange<std::uint32_t>(1, 17);
        const auto second = *rc::gen::inRange<std::uint32_t>(1, 17);
        fair_queue queue(10000);
        fill(queue, "a", first, 2000);
        fill(queue, "b", second, 2000);
        std::size_t ofFirst = 0;
        constexpr std::size_t taken = 1000;
        for (std::size_t index = 0; index < taken; ++index) {
            ofFirst += takeNext(queue)->what.service.value() == "a" ? 1 : 0;
        }
        const double expected = static_cast<double>(taken) * first / (first + second);
        RC_ASSERT(std::abs(static_cast<double>(ofFirst) - expected) <= 2 + 0.001 * expected);
    }));
}

TEST(fair_queue, aClassBelowItsShareWaitsForNoBacklog)
{
    fair_queue queue(10000);
    fill(queue, "flood", 1, 5000);
    for (int served = 0; served < 100; ++served) {
        takeNext(queue);
    }
    waiting_request urgent = request(1, "booking", 8);
    CHECK(append(queue, urgent));
    const bool first = takeNext(queue)->id == request_id(1);
    const bool second = first || takeNext(queue)->id == request_id(1);
    CHECK(second);
}

TEST(fair_queue, theMeasuredWaitFollowsTheStartRateOfTheClass)
{
    fair_queue queue(100);
    fill(queue, "slow", 1, 50);
    time_point now;
    const auto start = [&](int count) {
        for (int started = 0; started < count; ++started) {
            now += 20ms;
            const auto taken = takeNext(queue);
            recordStart(queue, taken->what, now);
        }
    };
    // Too few starts to tell a low start rate from a stall.
    start(5);
    LONGS_EQUAL(0, measuredWait(queue, service_name("slow"), 1).count());
    start(35);
    LONGS_EQUAL(10 * 20000, measuredWait(queue, service_name("slow"), 1).count());
    LONGS_EQUAL(0, measuredWait(queue, service_name("other"), 1).count());
}

TEST(fair_queue, aFloodFillsOnlyItsOwnClass)
{
    fair_queue queue(10);
    fill(queue, "flood", 1, 10);
    waiting_request more = request(1, "flood", 1);
    CHECK(!append(queue, more));
    LONGS_EQUAL(1, more.id.value());
    waiting_request other = request(2, "booking", 1);
    CHECK(append(queue, other));
}

TEST(fair_queue, everyRequestIsTakenOnceAndInOrderWithinItsClass)
{
    CHECK(rc::check("conservation, order and no starvation", [](const std::vector<std::uint8_t> &operations) {
        fair_queue queue(64);
        std::map<std::string, std::vector<std::uint64_t>> accepted;
        std::map<std::string, std::size_t> served;
        std::uint64_t nextId = 1;
        const auto take = [&](bool returnIt) {
            std::optional<waiting_request> taken = takeNext(queue);
            if (!taken) {
                RC_ASSERT(queue.size == 0U);
                return;
            }
            if (returnIt) {
                pushFront(queue, std::move(*taken));
                return;
            }
            const std::string service = taken->what.service.value();
            RC_ASSERT(taken->id.value() == accepted[service].at(served[service]));
            ++served[service];
        };
        for (const std::uint8_t operation : operations) {
            if (operation % 3 == 0) {
                take(operation % 2 == 0);
                continue;
            }
            const std::string service(1, static_cast<char>('a' + operation % 4));
            waiting_request made = request(nextId, service, 1 + operation % 4);
            if (append(queue, made)) {
                accepted[service].push_back(nextId);
            }
            ++nextId;
        }
        while (queue.size > 0) {
            take(false);
        }
        for (const auto &[service, ids] : accepted) {
            RC_ASSERT(served[service] == ids.size());
        }
    }));
}

TEST(fair_queue, requestsAheadNeverUnderstatesTheOwnClass)
{
    fair_queue queue(100);
    fill(queue, "own", 4, 8);
    fill(queue, "other", 1, 50);
    // The backlog of 8, and a quarter of 9 from the other class.
    LONGS_EQUAL(10, requestsAhead(queue, service_name("own"), 4));
    LONGS_EQUAL(54, requestsAhead(queue, service_name("other"), 1) - 4);
}
