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
    /// Statements of transactions that already hold a connection.
    transaction,
    /// Statements that only the primary can run.
    primary,
    /// Reads that a replica may serve.
    replica,
    /// Reads that go to the primary because no replica is expected to catch up soon enough.
    primaryRead,
    /// Reads that wait until a replica has applied their floor.
    catchUp,
};

/// Location of a waiting request, so that it is found without searching all lanes.
struct queue_index_entry {
    queue_lane lane = queue_lane::primary;
    time_point deadline{};
    service_name service;
    std::uint32_t weight = 1;
    /// Only in the lane catchUp: the floor that the read waits for, and when it goes to the primary instead.
    log_position floor;
    time_point catchUpDeadline{};
};

/// Requests that wait for a slot. A class is the requests of one service and weight; each class of a lane is bounded. In
/// the lanes transaction and catchUp, all requests count as one class.
struct admission_queue {
    explicit admission_queue(std::size_t classCapacity);

    using deadline_set = std::set<std::pair<time_point, request_id>>;

    std::size_t classCapacity;
    std::deque<waiting_request> transactions;
    fair_queue primary;
    fair_queue replica;
    fair_queue primaryReads;
    std::multimap<log_position, waiting_request> catchUp;
    std::unordered_map<request_id, queue_index_entry> index;
    deadline_set deadlines;
    deadline_set catchUpDeadlines;
};

/// Appends a request to a lane other than catchUp. Returns false when its class is full there; otherwise moves from
/// `request`.
bool enqueue(admission_queue &queue, queue_lane lane, waiting_request &request);

/// Queues a read until a replica has applied `floor`, at most until `catchUpDeadline`. Returns false when the lane is
/// full; otherwise moves from `request`.
bool enqueueForCatchUp(admission_queue &queue, waiting_request &request, log_position floor, time_point catchUpDeadline);

/// Removes and returns the next request of a lane other than catchUp.
std::optional<waiting_request> takeNext(admission_queue &queue, queue_lane lane);

/// Puts a taken request back at the front of its class.
void pushFront(admission_queue &queue, queue_lane lane, waiting_request request);

/// Removes and returns the reads whose floor is at most `applied`.
std::vector<waiting_request> takeCaughtUp(admission_queue &queue, log_position applied);

/// Removes and returns the reads whose catch-up deadline has passed.
std::vector<waiting_request> takeTimedOutCatchUps(admission_queue &queue, time_point now);

/// Moves the reads of the lanes catchUp and primaryRead to the lane replica. Their placement depended on the positions
/// or the primary of a term that is over.
void moveReadsToReplicaLane(admission_queue &queue);

/// Removes and returns the requests whose deadline has passed.
std::vector<waiting_request> takeExpired(admission_queue &queue, time_point now);

/// Removes and returns all statements of transactions.
std::vector<waiting_request> takeTransactions(admission_queue &queue);

/// Removes and returns one request, or nothing if it is not queued.
std::optional<waiting_request> remove(admission_queue &queue, request_id id);

/// Removes and returns every request.
std::vector<waiting_request> takeAll(admission_queue &queue);

/// Number of requests in all lanes.
std::size_t waitingCount(const admission_queue &queue);

/// Number of requests in one lane.
std::size_t waitingIn(const admission_queue &queue, queue_lane lane);

} // namespace mustardrouter
