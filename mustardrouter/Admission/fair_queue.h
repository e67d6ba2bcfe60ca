#pragma once

#include "mustardrouter/Admission/waiting_request.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Requests of one service and weight, in order of arrival.
struct fair_class {
    std::deque<waiting_request> requests;
    /// Virtual time at which the class is due; it advances by 1/weight with each request taken.
    std::uint64_t dueAt = 0;
    /// When a request of the class was last started, the number of starts since the class was last empty, and the mean
    /// interval between two starts.
    time_point lastStartedAt{};
    std::uint32_t starts = 0;
    double startIntervalMicros = 0;
};

/// Start-time fair queue: divides its server between classes by weight. A class that uses less than its share does not
/// wait for the backlog of another.
struct fair_queue {
    explicit fair_queue(std::size_t classCapacity);

    using class_key = std::pair<service_name, std::uint32_t>;

    /// Greatest number of requests in one class, so that a flood in one class leaves the capacity of the others.
    std::size_t classCapacity;
    std::map<class_key, fair_class> classes;
    std::size_t size = 0;
    /// Virtual time at which the class served last was due.
    std::uint64_t virtualTime = 0;
};

/// Appends a request. Returns false when its class is full; otherwise moves from `request`.
bool append(fair_queue &queue, waiting_request &request);

/// Returns a request that was taken but could not be served to the front of its class.
void pushFront(fair_queue &queue, waiting_request request);

/// Removes and returns the request that is due first, or nothing if the queue is empty.
std::optional<waiting_request> takeNext(fair_queue &queue);

/// Removes and returns one request, or nothing if it is not in the queue.
std::optional<waiting_request> remove(fair_queue &queue, request_id id, const service_name &service, std::uint32_t weight);

/// Removes and returns all requests.
std::vector<waiting_request> takeAll(fair_queue &queue);

/// Records that a request of the class was started.
void recordStart(fair_queue &queue, const statement &what, time_point now);

/// Expected wait of a request that is appended now, from the measured start rate of its class. Includes the capacity
/// that classes with larger weights use even when they have no backlog. Zero until there are enough starts to tell a
/// low rate from a stall.
duration measuredWait(const fair_queue &queue, const service_name &service, std::uint32_t weight);

/// Upper bound of the number of requests that are served before one appended now, by the share of its class.
std::size_t requestsAhead(const fair_queue &queue, const service_name &service, std::uint32_t weight);

} // namespace mustardrouter
