#include "mustardrouter/Admission/admission_queue.h"

#include <rapidcheck.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

waiting_request request(std::uint64_t id, duration deadline)
{
    waiting_request made;
    made.id = request_id(id);
    made.what.service = service_name("s" + std::to_string(id % 3));
    made.what.weight = 1 + static_cast<std::uint32_t>(id % 2);
    made.what.deadline = time_point(deadline);
    return made;
}

queue_lane anyLane(std::uint64_t random)
{
    constexpr std::array<queue_lane, 4> lanes{queue_lane::transaction, queue_lane::primary, queue_lane::replica, queue_lane::primaryRead};
    return lanes[random % lanes.size()];
}

void forget(std::set<std::uint64_t> &waiting, const std::vector<waiting_request> &taken)
{
    for (const waiting_request &item : taken) {
        RC_ASSERT(waiting.erase(item.id.value()) == 1U);
    }
}

} // namespace

TEST_GROUP(admission_queue){};

TEST(admission_queue, everyAcceptedRequestIsTakenExactlyOnce)
{
    CHECK(rc::check("conservation over all lanes", [](const std::vector<std::uint16_t> &randomValues) {
        admission_queue queue(4);
        std::set<std::uint64_t> waiting;
        std::uint64_t nextId = 1;
        duration now = 0ms;
        for (const std::uint16_t random : randomValues) {
            now += 1ms;
            const std::uint64_t id = nextId++;
            waiting_request made = request(id, now + std::chrono::milliseconds(random % 64));
            switch (random % 8) {
            case 0:
                if (const auto taken = takeNext(queue, anyLane(random / 8))) {
                    forget(waiting, {*taken});
                }
                break;
            case 1:
                forget(waiting, takeExpired(queue, time_point(now)));
                break;
            case 2:
                forget(waiting, takeCaughtUp(queue, log_position(random / 8 % 16)));
                break;
            case 3:
                forget(waiting, takeTimedOutCatchUps(queue, time_point(now)));
                break;
            case 4: {
                const request_id victim(1 + random / 8 % nextId);
                const bool removed = remove(queue, victim).has_value();
                RC_ASSERT(removed == (waiting.erase(victim.value()) == 1U));
                break;
            }
            case 5:
                moveReadsToReplicaLane(queue);
                break;
            case 6:
                if (enqueueForCatchUp(queue, made, log_position(random / 8 % 16), time_point(now + 10ms))) {
                    waiting.insert(id);
                }
                break;
            default:
                if (enqueue(queue, anyLane(random / 8), made)) {
                    waiting.insert(id);
                }
                break;
            }
            RC_ASSERT(waitingCount(queue) == waiting.size());
        }
        forget(waiting, takeAll(queue));
        RC_ASSERT(waiting.empty());
        RC_ASSERT(queue.deadlines.empty() && queue.catchUpDeadlines.empty());
    }));
}

TEST(admission_queue, takeExpiredRemovesOnlyRequestsPastTheirDeadline)
{
    admission_queue queue(10);
    for (const std::uint64_t id : {3, 1, 2}) {
        waiting_request made = request(id, std::chrono::milliseconds(id));
        CHECK(enqueue(queue, queue_lane::primary, made));
    }
    const auto expired = takeExpired(queue, time_point(2ms));
    LONGS_EQUAL(2, expired.size());
    LONGS_EQUAL(1, expired[0].id.value());
    LONGS_EQUAL(2, expired[1].id.value());
    LONGS_EQUAL(1, waitingCount(queue));
}

TEST(admission_queue, aReadWaitsForItsFloorOrItsCatchUpDeadline)
{
    admission_queue queue(10);
    waiting_request low = request(1, 1s);
    waiting_request high = request(2, 1s);
    CHECK(enqueueForCatchUp(queue, low, log_position(5), time_point(50ms)));
    CHECK(enqueueForCatchUp(queue, high, log_position(9), time_point(50ms)));
    LONGS_EQUAL(0, takeCaughtUp(queue, log_position(4)).size());
    const auto caughtUp = takeCaughtUp(queue, log_position(8));
    LONGS_EQUAL(1, caughtUp.size());
    LONGS_EQUAL(1, caughtUp[0].id.value());
    LONGS_EQUAL(0, takeTimedOutCatchUps(queue, time_point(49ms)).size());
    LONGS_EQUAL(2, takeTimedOutCatchUps(queue, time_point(50ms)).at(0).id.value());
}
