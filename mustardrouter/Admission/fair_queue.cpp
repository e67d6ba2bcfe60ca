#include "mustardrouter/Admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

/// Virtual time that a request of weight 1 takes.
constexpr std::uint64_t virtualCostAtWeightOne = 1'000'000;

/// Starts from which a class's pace is known.
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

bool append(fair_queue &lane, waiting_request &request)
{
    const auto [found, added] = lane.classes.try_emplace(keyOf(request.what));
    fair_class &own = found->second;
    if (own.requests.size() >= lane.classCapacity) {
        return false;
    }
    if (added) {
        own.dueAt = lane.virtualTime;
    }
    own.requests.push_back(std::move(request));
    ++lane.size;
    return true;
}

void pushFront(fair_queue &lane, waiting_request request)
{
    const fair_queue::class_key key = keyOf(request.what);
    const auto [found, added] = lane.classes.try_emplace(key);
    fair_class &own = found->second;
    // A class that was forgotten when it ran empty was due at the lane's present time.
    own.dueAt = added ? lane.virtualTime : own.dueAt - std::min(own.dueAt, costOf(key.second));
    own.requests.push_front(std::move(request));
    ++lane.size;
}

std::optional<waiting_request> takeNext(fair_queue &lane)
{
    if (lane.classes.empty()) {
        return std::nullopt;
    }
    const auto next = std::ranges::min_element(lane.classes, {}, [](const auto &item) {
        return std::pair(item.second.dueAt, UINT32_MAX - item.first.second);
    });
    fair_class &own = next->second;
    assert(!own.requests.empty());
    waiting_request request = std::move(own.requests.front());
    own.requests.pop_front();
    --lane.size;
    lane.virtualTime = std::max(lane.virtualTime, own.dueAt);
    own.dueAt += costOf(next->first.second);
    if (own.requests.empty()) {
        lane.classes.erase(next);
    }
    return request;
}

std::optional<waiting_request> remove(fair_queue &lane, request_id id, const service_name &service, std::uint32_t weight)
{
    const auto found = lane.classes.find({service, std::max(weight, 1U)});
    if (found == lane.classes.end()) {
        return std::nullopt;
    }
    std::deque<waiting_request> &requests = found->second.requests;
    const auto item = std::ranges::find(requests, id, &waiting_request::id);
    if (item == requests.end()) {
        return std::nullopt;
    }
    waiting_request request = std::move(*item);
    requests.erase(item);
    --lane.size;
    if (requests.empty()) {
        lane.classes.erase(found);
    }
    return request;
}

std::vector<waiting_request> takeAll(fair_queue &lane)
{
    std::vector<waiting_request> all;
    for (auto &[key, own] : lane.classes) {
        std::ranges::move(own.requests, std::back_inserter(all));
    }
    lane.classes.clear();
    lane.size = 0;
    return all;
}

void recordStart(fair_queue &lane, const statement &what, time_point now)
{
    const auto found = lane.classes.find(keyOf(what));
    if (found == lane.classes.end()) {
        return;
    }
    // A plain mean at first, then one over about as many starts as make a pace.
    fair_class &own = found->second;
    if (own.starts > 0) {
        const auto interval = static_cast<double>((now - own.startedAt).count());
        own.startIntervalMicros += (interval - own.startIntervalMicros) / std::min(own.starts, minStartsForMeasuredWait);
    }
    ++own.starts;
    own.startedAt = now;
}

duration measuredWait(const fair_queue &lane, const service_name &service, std::uint32_t weight)
{
    const auto found = lane.classes.find({service, std::max(weight, 1U)});
    if (found == lane.classes.end()) {
        return duration::zero();
    }
    const fair_class &own = found->second;
    if (own.starts < minStartsForMeasuredWait) {
        return duration::zero();
    }
    return duration(static_cast<duration::rep>(static_cast<double>(own.requests.size()) * own.startIntervalMicros));
}

std::size_t requestsAhead(const fair_queue &lane, const service_name &service, std::uint32_t weight)
{
    const std::uint64_t own = std::max(weight, 1U);
    const auto found = lane.classes.find({service, std::max(weight, 1U)});
    const std::size_t before = found == lane.classes.end() ? 0 : found->second.requests.size();
    std::size_t ahead = before;
    for (const auto &[key, other] : lane.classes) {
        if (key == fair_queue::class_key{service, std::max(weight, 1U)}) {
            continue;
        }
        // While this class's requests are served, another gets its share, and no more than it has.
        const std::size_t share = (before + 1) * key.second / own;
        ahead += std::min(other.requests.size(), share);
    }
    return ahead;
}

} // namespace mustardrouter
