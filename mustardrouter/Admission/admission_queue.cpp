#include "mustardrouter/Admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardrouter
{

namespace
{

fair_queue &fairQueue(admission_queue &queue, queue_lane lane)
{
    assert(lane == queue_lane::primary || lane == queue_lane::replica || lane == queue_lane::primaryRead);
    if (lane == queue_lane::primary) {
        return queue.primary;
    }
    return lane == queue_lane::replica ? queue.replica : queue.primaryReads;
}

void addToIndex(admission_queue &queue, const waiting_request &request, queue_lane lane)
{
    queue_index_entry entry;
    entry.lane = lane;
    entry.deadline = request.what.deadline;
    entry.service = request.what.service;
    entry.weight = request.what.weight;
    queue.deadlines.emplace(entry.deadline, request.id);
    queue.index.insert_or_assign(request.id, std::move(entry));
}

void removeFromIndex(admission_queue &queue, request_id id)
{
    const auto found = queue.index.find(id);
    if (found == queue.index.end()) {
        return;
    }
    queue.deadlines.erase({found->second.deadline, id});
    queue.catchUpDeadlines.erase({found->second.catchUpDeadline, id});
    queue.index.erase(found);
}

std::optional<waiting_request> removeTransaction(admission_queue &queue, request_id id)
{
    const auto found = std::ranges::find(queue.transactions, id, &waiting_request::id);
    if (found == queue.transactions.end()) {
        return std::nullopt;
    }
    waiting_request request = std::move(*found);
    queue.transactions.erase(found);
    return request;
}

std::optional<waiting_request> removeCatchUp(admission_queue &queue, request_id id, log_position floor)
{
    const auto [first, last] = queue.catchUp.equal_range(floor);
    for (auto item = first; item != last; ++item) {
        if (item->second.id != id) {
            continue;
        }
        waiting_request request = std::move(item->second);
        queue.catchUp.erase(item);
        return request;
    }
    return std::nullopt;
}

std::optional<waiting_request> removeFromLane(admission_queue &queue, request_id id, const queue_index_entry &entry)
{
    if (entry.lane == queue_lane::transaction) {
        return removeTransaction(queue, id);
    }
    if (entry.lane == queue_lane::catchUp) {
        return removeCatchUp(queue, id, entry.floor);
    }
    return remove(fairQueue(queue, entry.lane), id, entry.service, entry.weight);
}

/// Removes and returns the requests whose instant in the set is not after `now`.
std::vector<waiting_request> takeDue(admission_queue &queue, const admission_queue::deadline_set &due, time_point now)
{
    std::vector<waiting_request> taken;
    while (!due.empty() && due.begin()->first <= now) {
        std::optional<waiting_request> request = remove(queue, due.begin()->second);
        assert(request.has_value());
        taken.push_back(std::move(*request));
    }
    return taken;
}

} // namespace

admission_queue::admission_queue(std::size_t capacity)
    : classCapacity(capacity)
    , primary(capacity)
    , replica(capacity)
    , primaryReads(capacity)
{
}

bool enqueue(admission_queue &queue, queue_lane lane, waiting_request &request)
{
    const request_id id = request.id;
    addToIndex(queue, request, lane);
    if (lane == queue_lane::transaction) {
        if (queue.transactions.size() < queue.classCapacity) {
            queue.transactions.push_back(std::move(request));
            return true;
        }
    } else if (append(fairQueue(queue, lane), request)) {
        return true;
    }
    removeFromIndex(queue, id);
    return false;
}

bool enqueueForCatchUp(admission_queue &queue, waiting_request &request, log_position floor, time_point catchUpDeadline)
{
    if (queue.catchUp.size() >= queue.classCapacity) {
        return false;
    }
    addToIndex(queue, request, queue_lane::catchUp);
    queue_index_entry &entry = queue.index.at(request.id);
    entry.floor = floor;
    entry.catchUpDeadline = catchUpDeadline;
    queue.catchUpDeadlines.emplace(catchUpDeadline, request.id);
    queue.catchUp.emplace(floor, std::move(request));
    return true;
}

std::optional<waiting_request> takeNext(admission_queue &queue, queue_lane lane)
{
    std::optional<waiting_request> request;
    if (lane == queue_lane::transaction) {
        if (queue.transactions.empty()) {
            return std::nullopt;
        }
        request = std::move(queue.transactions.front());
        queue.transactions.pop_front();
    } else {
        request = takeNext(fairQueue(queue, lane));
    }
    if (request) {
        removeFromIndex(queue, request->id);
    }
    return request;
}

void pushFront(admission_queue &queue, queue_lane lane, waiting_request request)
{
    addToIndex(queue, request, lane);
    if (lane == queue_lane::transaction) {
        queue.transactions.push_front(std::move(request));
        return;
    }
    pushFront(fairQueue(queue, lane), std::move(request));
}

std::vector<waiting_request> takeCaughtUp(admission_queue &queue, log_position applied)
{
    std::vector<waiting_request> taken;
    while (!queue.catchUp.empty() && queue.catchUp.begin()->first <= applied) {
        waiting_request request = std::move(queue.catchUp.begin()->second);
        queue.catchUp.erase(queue.catchUp.begin());
        removeFromIndex(queue, request.id);
        taken.push_back(std::move(request));
    }
    return taken;
}

std::vector<waiting_request> takeTimedOutCatchUps(admission_queue &queue, time_point now)
{
    return takeDue(queue, queue.catchUpDeadlines, now);
}

void moveReadsToReplicaLane(admission_queue &queue)
{
    std::vector<waiting_request> reads = takeCaughtUp(queue, log_position(UINT64_MAX));
    std::ranges::move(takeAll(queue.primaryReads), std::back_inserter(reads));
    for (waiting_request &request : reads) {
        removeFromIndex(queue, request.id);
        // Ignores the lane's capacity: an admitted request is never dropped by a move, and the sum over all lanes stays
        // bounded.
        pushFront(queue, queue_lane::replica, std::move(request));
    }
}

std::vector<waiting_request> takeExpired(admission_queue &queue, time_point now)
{
    return takeDue(queue, queue.deadlines, now);
}

std::vector<waiting_request> takeTransactions(admission_queue &queue)
{
    std::vector<waiting_request> taken;
    while (std::optional<waiting_request> request = takeNext(queue, queue_lane::transaction)) {
        taken.push_back(std::move(*request));
    }
    return taken;
}

std::optional<waiting_request> remove(admission_queue &queue, request_id id)
{
    const auto found = queue.index.find(id);
    if (found == queue.index.end()) {
        return std::nullopt;
    }
    std::optional<waiting_request> request = removeFromLane(queue, id, found->second);
    assert(request.has_value());
    removeFromIndex(queue, id);
    return request;
}

std::vector<waiting_request> takeAll(admission_queue &queue)
{
    std::vector<waiting_request> all = takeTransactions(queue);
    std::ranges::move(takeAll(queue.primary), std::back_inserter(all));
    std::ranges::move(takeAll(queue.replica), std::back_inserter(all));
    std::ranges::move(takeAll(queue.primaryReads), std::back_inserter(all));
    for (auto &[floor, request] : queue.catchUp) {
        all.push_back(std::move(request));
    }
    queue.catchUp.clear();
    queue.index.clear();
    queue.deadlines.clear();
    queue.catchUpDeadlines.clear();
    return all;
}

std::size_t waitingCount(const admission_queue &queue)
{
    return queue.index.size();
}

std::size_t waitingIn(const admission_queue &queue, queue_lane lane)
{
    switch (lane) {
    case queue_lane::transaction:
        return queue.transactions.size();
    case queue_lane::primary:
        return queue.primary.size;
    case queue_lane::replica:
        return queue.replica.size;
    case queue_lane::primaryRead:
        return queue.primaryReads.size;
    case queue_lane::catchUp:
        return queue.catchUp.size();
    }
    return 0;
}

} // namespace mustardrouter
