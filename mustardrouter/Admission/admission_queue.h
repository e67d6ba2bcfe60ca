#pragma once

#include "mustardrouter/Admission/fair_queue.h"
#include "mustardrouter/Admission/waiting_request.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Lanes of the queue, in the order in which they are served.
enum class queue_lane : std::uint8_t {
    /// Statements of transactions that hold a connection already.
    transaction,
    /// Work that only the primary can do.
    primary,
    /// Reads that a replica may serve.
    replica,
    /// Reads that go to the primary because no replica catches up soon enough.
    primaryRead,
    /// Reads that wait until a replica has caught up with their floor.
    catchUp,
};

/// Where a waiting request is, so that it can be found without a search through all lanes.
struct queue_index_entry {
    queue_lane lane = queue_lane::primary;
    time_point deadline{};
    service_name service;
    std::uint32_t weight = 1;
    /// For catchUp: its floor, and when it goes to the primary instead.
    log_position floor;
    time_point catchUpDeadline{};
};

/// Requests that wait for a slot; bounded in each class of each lane.
struct admission_queue {
    explicit admission_queue(std::size_t laneCapacity);

    using deadline_set = std::set<std::pair<time_point, request_id>>;

    std::size_t laneCapacity;
    std::deque<waiting_request> transactions;
    fair_queue primary;
    fair_queue replica;
    fair_queue primaryReads;
    std::multimap<log_position, waiting_request> catchUp;
    std::unordered_map<request_id, queue_index_entry> index;
    deadline_set deadlines;
    deadline_set catchUpDeadlines;
};

/// Appends a request to a lane other than catchUp and moves from it; false when its class is full there.
bool enqueue(admission_queue &queue, queue_lane lane, waiting_request &request);

/// Lets a read wait until a replica has applied `floor`, at most until `patience`, and moves from
/// it; false when too many wait.
bool enqueueForCatchUp(admission_queue &queue, waiting_request &request, log_position floor, time_point catchUpDeadline);

/// Takes the next request of a lane other than catchUp.
std::optional<waiting_request> takeNext(admission_queue &queue, queue_lane lane);

/// Puts back a request that was taken from the lane, ahead of its class.
void pushFront(admission_queue &queue, queue_lane lane, waiting_request request);

/// Removes and returns the reads whose floor is at most `applied`.
std::vector<waiting_request> takeCaughtUp(admission_queue &queue, log_position applied);

/// Removes and returns the reads that no longer wait for a replica.
std::vector<waiting_request> takeTimedOutCatchUps(admission_queue &queue, time_point now);

/// Returns the reads that were bound to a term's positions or primary to the lane replica.
void moveReadsToReplicaLane(admission_queue &queue);

/// Removes and returns the requests whose deadline has passed.
std::vector<waiting_request> takeExpired(admission_queue &queue, time_point now);

/// Removes and returns the statements of transactions.
std::vector<waiting_request> takeTransactions(admission_queue &queue);

/// Removes one request, if it waits.
std::optional<waiting_request> remove(admission_queue &queue, request_id id);

/// Removes and returns every request.
std::vector<waiting_request> takeAll(admission_queue &queue);

/// Requests in all lanes.
std::size_t waitingCount(const admission_queue &queue);

/// Requests in one lane.
std::size_t waitingIn(const admission_queue &queue, queue_lane lane);

} // namespace mustardrouter
