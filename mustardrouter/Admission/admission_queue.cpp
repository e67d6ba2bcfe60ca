#include "mustardrouter/Admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardrouter
{

namespace
{

fair_lane &fairLane(admission_queue &queue, queue_lane lane)
{
    assert(lane == queue_lane::primary || lane == queue_lane::replica || lane == queue_lane::primaryRead);
    if (lane == queue_lane::primary) {
        return queue.primary;
    }
    return lane == queue_lane::replica ? queue.replica : queue.primaryReads;
}

void issueTicket(admission_queue &queue, const waiting_request &request, queue_lane lane)
{
    queue_ticket ticket;
    ticket.lane = lane;
    ticket.deadline = request.what.deadline;
    ticket.service = request.what.service;
    ticket.weight = request.what.weight;
    queue.deadlines.emplace(ticket.deadline, request.id);
    queue.tickets.insert_or_assign(request.id, std::move(ticket));
}

void dropTicket(admission_queue &queue, request_id id)
{
    const auto found = queue.tickets.find(id);
    if (found == queue.tickets.end()) {
        return;
    }
    queue.deadlines.erase({found->second.deadline, id});
    queue.patience.erase({found->second.patience, id});
    queue.tickets.erase(found);
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

std::optional<waiting_request> removeTicketed(admission_queue &queue, request_id id, const queue_ticket &ticket)
{
    if (ticket.lane == queue_lane::transaction) {
        return removeTransaction(queue, id);
    }
    if (ticket.lane == queue_lane::catchUp) {
        return removeCatchUp(queue, id, ticket.floor);
    }
    return remove(fairLane(queue, ticket.lane), id, ticket.service, ticket.weight);
}

/// Removes what a set says is due by `now`.
std::vector<waiting_request> takeDue(admission_queue &queue, const admission_queue::due_set &due, time_point now)
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
    : laneCapacity(capacity)
    , primary(capacity)
    , replica(capacity)
    , primaryReads(capacity)
{
}

bool enqueue(admission_queue &queue, queue_lane lane, waiting_request &request)
{
    const request_id id = request.id;
    issueTicket(queue, request, lane);
    if (lane == queue_lane::transaction) {
        if (queue.transactions.size() < queue.laneCapacity) {
            queue.transactions.push_back(std::move(request));
            return true;
        }
    } else if (append(fairLane(queue, lane), request)) {
        return true;
    }
    dropTicket(queue, id);
    return false;
}

bool waitForCatchUp(admission_queue &queue, waiting_request &request, log_position floor, time_point patience)
{
    if (queue.catchUp.size() >= queue.laneCapacity) {
        return false;
    }
    issueTicket(queue, request, queue_lane::catchUp);
    queue_ticket &ticket = queue.tickets.at(request.id);
    ticket.floor = floor;
    ticket.patience = patience;
    queue.patience.emplace(patience, request.id);
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
        request = takeNext(fairLane(queue, lane));
    }
    if (request) {
        dropTicket(queue, request->id);
    }
    return request;
}

void putBack(admission_queue &queue, queue_lane lane, waiting_request request)
{
    issueTicket(queue, request, lane);
    if (lane == queue_lane::transaction) {
        queue.transactions.push_front(std::move(request));
        return;
    }
    putBack(fairLane(queue, lane), std::move(request));
}

std::vector<waiting_request> takeCaughtUp(admission_queue &queue, log_position applied)
{
    std::vector<waiting_request> taken;
    while (!queue.catchUp.empty() && queue.catchUp.begin()->first <= applied) {
        waiting_request request = std::move(queue.catchUp.begin()->second);
        queue.catchUp.erase(queue.catchUp.begin());
        dropTicket(queue, request.id);
        taken.push_back(std::move(request));
    }
    return taken;
}

std::vector<waiting_request> takeImpatient(admission_queue &queue, time_point now)
{
    return takeDue(queue, queue.patience, now);
}

void restartReads(admission_queue &queue)
{
    std::vector<waiting_request> reads = takeCaughtUp(queue, log_position(UINT64_MAX));
    std::ranges::move(takeAll(queue.primaryReads), std::back_inserter(reads));
    for (waiting_request &request : reads) {
        dropTicket(queue, request.id);
        // Moving between lanes never drops a request that was taken in; the sum stays bounded.
        putBack(queue, queue_lane::replica, std::move(request));
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
    const auto found = queue.tickets.find(id);
    if (found == queue.tickets.end()) {
        return std::nullopt;
    }
    std::optional<waiting_request> request = removeTicketed(queue, id, found->second);
    assert(request.has_value());
    dropTicket(queue, id);
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
    queue.tickets.clear();
    queue.deadlines.clear();
    queue.patience.clear();
    return all;
}

std::size_t waitingCount(const admission_queue &queue)
{
    return queue.tickets.size();
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
