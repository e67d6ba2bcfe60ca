#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace mustardrouter
{

/// Positions that the primary is known to have reached, with the earliest instant at which
/// each can have been read. Bounded in length; old samples go first.
struct position_history {
    struct sample {
        time_point requestedAt;
        log_position position;
    };
    std::deque<sample> samples;
};

/// Adds what a report said that was asked for at `requestedAt`.
void recordPosition(position_history &history, time_point requestedAt, log_position position);

/// A position that the primary had not passed at `instant`, or nothing when no report was asked
/// for since: then nobody can say how old a replica's data is.
std::optional<log_position> positionUpperBound(const position_history &history, time_point instant);

} // namespace mustardrouter
