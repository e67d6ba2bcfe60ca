#include "mustardrouter/Admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

/// Virtual time by which a request of weight 1 advances its class.
constexpr std::uint64_t virtualCostAtWeightOne = 1'000'000;

/// Number of starts from which a class's start rate counts as measured.
constexpr std::uint32_t minStartsForMeasuredWait = 32;

std::uint64_t costOf(std::uint32_t weight)
{
    return std::max<std::uint64_t>(1, virtualCostAtWeightOne / std::max(weight, 1U));
}

fair_queue::class_key keyOf(const statement &what)
{
    return {what.service, std::max(what.weight, 1U)};
}

} // namespace

fair_queue::fair_queue(std::size_t capacity)
    : classCapacity(capacity)
{
}

bool append(fair_queue &queue, waiting_request &request)
{
    const auto [found, added] = queue.classes.try_emplace(keyOf(request.what));
    fair_class &ownClass = found->second;
    if (ownClass.requests.size() >= queue.classCapacity) {
        return false;
    }
    if (added) {
        ownClass.dueAt = queue.virtualTime;
    }
    ownClass.requests.push_back(std::move(request));
    ++queue.size;
    return true;
}

void pushFront(fair_queue &queue, waiting_request request)
{
    const fair_queue::class_key key = keyOf(request.what);
    const auto [found, added] = queue.classes.try_emplace(key);
    fair_class &ownClass = found->second;
    // An empty class is erased; a new one is due at the queue's current virtual time.
    ownClass.dueAt = added ? queue.virtualTime : ownClass.dueAt - std::min(ownClass.dueAt, costOf(key.second));
    ownClass.requests.push_front(std::move(request));
    ++queue.size;
}

std::optional<waiting_request> takeNext(fair_queue &queue)
{
    if (queue.classes.empty()) {
        return std::nullopt;
    }
    const auto next = std::ranges::min_element(queue.classes, {}, [](const auto &item) {
        return std::pair(item.second.dueAt, UINT32_MAX - item.first.second);
    });
    fair_class &ownClass = next->second;
    assert(!ownClass.requests.empty());
    waiting_request request = std::move(ownClass.requests.front());
    ownClass.requests.pop_front();
    --queue.size;
    queue.virtualTime = std::max(queue.virtualTime, ownClass.dueAt);
    ownClass.dueAt += costOf(next->first.second);
    if (ownClass.requests.empty()) {
        queue.classes.erase(next);
    }
    return request;
}

std::optional<waiting_request> remove(fair_queue &queue, request_id id, const service_name &service, std::uint32_t weight)
{
    const auto found = queue.classes.find({service, std::max(weight, 1U)});
    if (found == queue.classes.end()) {
        return std::nullopt;
    }
    std::deque<waiting_request> &requests = found->second.requests;
    const auto item = std::ranges::find(requests, id, &waiting_request::id);
    if (item == requests.end()) {
        return std::nullopt;
    }
    waiting_request request = std::move(*item);
    requests.erase(item);
    --queue.size;
    if (requests.empty()) {
        queue.classes.erase(found);
    }
    return request;
}

std::vector<waiting_request> takeAll(fair_queue &queue)
{
    std::vector<waiting_request> all;
    for (auto &[key, ownClass] : queue.classes) {
        std::ranges::move(ownClass.requests, std::back_inserter(all));
    }
    queue.classes.clear();
    queue.size = 0;
    return all;
}

void recordStart(fair_queue &queue, const statement &what, time_point now)
{
    const auto found = queue.classes.find(keyOf(what));
    if (found == queue.classes.end()) {
        return;
    }
    // Plain mean of the first intervals, then a moving average over about `minStartsForMeasuredWait` of them.
    fair_class &ownClass = found->second;
    if (ownClass.starts > 0) {
        const auto interval = static_cast<double>((now - ownClass.lastStartedAt).count());
        ownClass.startIntervalMicros += (interval - ownClass.startIntervalMicros) / std::min(ownClass.starts, minStartsForMeasuredWait);
    }
    ++ownClass.starts;
    ownClass.lastStartedAt = now;
}

duration measuredWait(const fair_queue &queue, const service_name &service, std::uint32_t weight)
{
    const auto found = queue.classes.find({service, std::max(weight, 1U)});
    if (found == queue.classes.end()) {
        return duration::zero();
    }
    const fair_class &ownClass = found->second;
    if (ownClass.starts < minStartsForMeasuredWait) {
        return duration::zero();
    }
    return duration(static_cast<duration::rep>(static_cast<double>(ownClass.requests.size()) * ownClass.startIntervalMicros));
}

std::size_t requestsAhead(const fair_queue &queue, const service_name &service, std::uint32_t weight)
{
    const std::uint64_t ownWeight = std::max(weight, 1U);
    const auto found = queue.classes.find({service, std::max(weight, 1U)});
    const std::size_t before = found == queue.classes.end() ? 0 : found->second.requests.size();
    std::size_t ahead = before;
    for (const auto &[key, other] : queue.classes) {
        if (key == fair_queue::class_key{service, std::max(weight, 1U)}) {
            continue;
        }
        // While the requests of this class are served, another class gets its share by weight, up to its own backlog.
        const std::size_t share = (before + 1) * key.second / ownWeight;
        ahead += std::min(other.requests.size(), share);
    }
    return ahead;
}

} // namespace mustardrouter
