#pragma once

#include <chrono>
#include <cstdint>

namespace mustardrouter
{

/// The clock of the decision modules. It has no now(): time always comes with an event.
struct virtual_clock {
    using duration = std::chrono::duration<std::int64_t, std::micro>;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<virtual_clock>;
    static constexpr bool is_steady = true;
};

/// Instant in microseconds since an arbitrary start.
using time_point = virtual_clock::time_point;
/// Span of time in microseconds.
using duration = virtual_clock::duration;

} // namespace mustardrouter
