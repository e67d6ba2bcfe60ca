#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <optional>

namespace mustardrouter
{

/// Speed of a server of statements: a database, or several that share a queue.
struct server_capacity {
    double serviceMicros = 0;
    std::size_t slots = 0;
    std::size_t running = 0;
};

/// Expected time until a statement is answered that has `ahead` others before it.
duration expectedCompletion(const server_capacity &capacity, std::size_t ahead);

/// Whether a statement that comes now should be refused at once, because its answer cannot be
/// expected within `timeLeft`; then, when it may come again. The longer of the wait that `ahead`
/// gives and the one that was measured counts. A server without a queue takes all.
std::optional<duration> retryAfterIfLate(const server_capacity &capacity, std::size_t ahead, duration measuredWait, duration timeLeft);

} // namespace mustardrouter
