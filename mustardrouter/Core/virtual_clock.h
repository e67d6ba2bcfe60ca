#pragma once

#include <chrono>
#include <cstdint>

namespace mustardrouter
{

/// Clock type of the decision modules. It has no now(): the current time is passed in with each event.
struct virtual_clock {
    using duration = std::chrono::duration<std::int64_t, std::micro>;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<virtual_clock>;
    static constexpr bool is_steady = true;
};

/// Instant in microseconds since an arbitrary epoch.
using time_point = virtual_clock::time_point;
/// Duration in microseconds.
using duration = virtual_clock::duration;

} // namespace mustardrouter
