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
    /// When one of its requests was started last, how many were since the class has had a backlog,
    /// and the mean time between two starts.
    time_point lastStartedAt{};
    std::uint32_t starts = 0;
    double startIntervalMicros = 0;
};

/// A queue that shares its server between classes by weight: start-time fair queueing. A class
/// that asks for less than its share waits for no other class's backlog.
struct fair_queue {
    explicit fair_queue(std::size_t classCapacity);

    using class_key = std::pair<service_name, std::uint32_t>;

    /// Most requests that wait in one class, so that a flood fills no other class's room.
    std::size_t classCapacity;
    std::map<class_key, fair_class> classes;
    std::size_t size = 0;
    /// Virtual time: when the class served last was due.
    std::uint64_t virtualTime = 0;
};

/// Appends a request and moves from it; false when its class is full.
bool append(fair_queue &queue, waiting_request &request);

/// Puts back a request that was taken but could not be served, ahead of its class.
void pushFront(fair_queue &queue, waiting_request request);

/// Takes the request that is due first, or nothing from an empty lane.
std::optional<waiting_request> takeNext(fair_queue &queue);

/// Removes one request; nothing when the lane does not hold it.
std::optional<waiting_request> remove(fair_queue &queue, request_id id, const service_name &service, std::uint32_t weight);

/// Removes and returns everything.
std::vector<waiting_request> takeAll(fair_queue &queue);

/// Notes that a request of the class was started.
void recordStart(fair_queue &queue, const statement &what, time_point now);

/// Wait of a request that is appended now, from the pace at which its class has been served.
/// It covers what classes with larger weights take away, also when they keep no backlog. Zero until
/// enough requests have been started to tell a pace from a stall.
duration measuredWait(const fair_queue &queue, const service_name &service, std::uint32_t weight);

/// How many requests are served before one that is appended now, at worst by its class's share.
std::size_t requestsAhead(const fair_queue &queue, const service_name &service, std::uint32_t weight);

} // namespace mustardrouter
