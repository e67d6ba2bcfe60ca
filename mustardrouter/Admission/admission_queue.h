#pragma once

#include "mustardrouter/Admission/waiting_request.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <array>
#include <cstddef>
#include <deque>
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
};

constexpr std::size_t queueLanes = 3;

/// Requests that wait for a slot; bounded in each lane.
struct admission_queue {
    explicit admission_queue(std::size_t laneCapacity);

    std::size_t laneCapacity;
    std::array<std::deque<waiting_request>, queueLanes> lanes;
};

/// Appends a request to a lane; false when the lane is full.
bool enqueue(admission_queue &queue, queue_lane lane, waiting_request request);

/// The requests of a lane.
std::deque<waiting_request> &laneOf(admission_queue &queue, queue_lane lane);

/// Removes and returns the requests whose deadline has passed.
std::vector<waiting_request> takeExpired(admission_queue &queue, time_point now);

/// Removes and returns every request.
std::vector<waiting_request> takeAll(admission_queue &queue);

/// Requests in all lanes.
std::size_t waitingCount(const admission_queue &queue);

} // namespace mustardrouter
