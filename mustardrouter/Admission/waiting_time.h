#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <optional>

namespace mustardrouter
{

/// Service rate and load of a database, or of several that share a queue.
struct server_capacity {
    double serviceMicros = 0;
    std::size_t slots = 0;
    std::size_t running = 0;
};

/// Expected time until a statement with `ahead` others before it is answered.
duration expectedCompletion(const server_capacity &capacity, std::size_t ahead);

/// Retry-after time for a statement that is to be refused because it cannot be expected to finish within `timeLeft`;
/// nothing if it is to be admitted. Uses the longer of the wait computed from `ahead` and the measured one. A server
/// without a queue admits every statement.
std::optional<duration> retryAfterIfLate(const server_capacity &capacity, std::size_t ahead, duration measuredWait, duration timeLeft);

} // namespace mustardrouter
