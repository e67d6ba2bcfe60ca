#include "mustardrouter/Admission/admission_queue.h"

#include <utility>

namespace mustardrouter
{

admission_queue::admission_queue(std::size_t capacity)
    : laneCapacity(capacity)
{
}

std::deque<waiting_request> &laneOf(admission_queue &queue, queue_lane lane)
{
    return queue.lanes[static_cast<std::size_t>(lane)];
}

bool enqueue(admission_queue &queue, queue_lane lane, waiting_request request)
{
    std::deque<waiting_request> &requests = laneOf(queue, lane);
    if (requests.size() >= queue.laneCapacity) {
        return false;
    }
    requests.push_back(std::move(request));
    return true;
}

std::vector<waiting_request> takeExpired(admission_queue &queue, time_point now)
{
    std::vector<waiting_request> expired;
    for (std::deque<waiting_request> &lane : queue.lanes) {
        for (auto request = lane.begin(); request != lane.end();) {
            if (now < request->what.deadline) {
                ++request;
                continue;
            }
            expired.push_back(std::move(*request));
            request = lane.erase(request);
        }
    }
    return expired;
}

std::vector<waiting_request> takeAll(admission_queue &queue)
{
    std::vector<waiting_request> all;
    for (std::deque<waiting_request> &lane : queue.lanes) {
        for (waiting_request &request : lane) {
            all.push_back(std::move(request));
        }
        lane.clear();
    }
    return all;
}

std::size_t waitingCount(const admission_queue &queue)
{
    std::size_t count = 0;
    for (const std::deque<waiting_request> &lane : queue.lanes) {
        count += lane.size();
    }
    return count;
}

} // namespace mustardrouter
