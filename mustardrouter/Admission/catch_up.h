#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <map>

namespace mustardrouter
{

/// How far each replica of a group is behind its primary, as seen by the owner.
struct catch_up_estimate {
    struct sample {
        time_point seenAt;
        log_position position;
    };
    struct replica {
        log_position applied;
        /// Mean time from the primary's append to the replica's report that it is visible there.
        double lagMicros = 0;
        bool measured = false;
    };
    /// When the primary's positions became known, oldest first; bounded.
    std::deque<sample> samples;
    std::map<database_name, replica> replicas;
};

/// The primary holds `position`.
void recordPrimaryPosition(catch_up_estimate &estimate, log_position position, time_point now);

/// A replica has applied up to `applied`.
void recordReplicaPosition(catch_up_estimate &estimate, const database_name &name, log_position applied, time_point now);

/// Expected time until the replica has applied `floor`; zero when it has.
duration expectedCatchUp(const catch_up_estimate &estimate, const database_name &name, log_position floor, time_point now);

/// Forgets all positions, which mean nothing in another term; the measured lags stay.
void resetPositions(catch_up_estimate &estimate);

} // namespace mustardrouter
