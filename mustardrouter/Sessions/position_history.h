#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace mustardrouter
{

/// Positions that the primary is known to have reached, each with the earliest instant at which
/// it can have been read. The length is bounded; the oldest samples are dropped first.
struct position_history {
    struct sample {
        time_point requestedAt;
        log_position position;
    };
    std::deque<sample> samples;
};

/// Adds the position from a report that was requested at `requestedAt`.
void recordPosition(position_history &history, time_point requestedAt, log_position position);

/// A position that the primary had not passed at `instant`, or nothing when no report was requested
/// since: then the age of a replica's data is not known.
std::optional<log_position> positionUpperBound(const position_history &history, time_point instant);

} // namespace mustardrouter
