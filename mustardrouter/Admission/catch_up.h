#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <map>

namespace mustardrouter
{

/// Estimated lag of each replica of a group behind its primary, as seen by the owner.
struct catch_up_estimate {
    struct sample {
        time_point seenAt;
        log_position position;
    };
    struct replica {
        log_position applied;
        /// Moving average of the time from the owner's learning of a position of the primary to its learning that the
        /// replica has applied it.
        double lagMicros = 0;
        bool measured = false;
    };
    /// When the owner learned of positions of the primary, oldest first; bounded in length.
    std::deque<sample> samples;
    std::map<database_name, replica> replicas;
};

/// Records that the primary's log has reached `position`.
void recordPrimaryPosition(catch_up_estimate &estimate, log_position position, time_point now);

/// Records that a replica has applied the log up to `applied`.
void recordReplicaPosition(catch_up_estimate &estimate, const database_name &name, log_position applied, time_point now);

/// Expected time until the replica has applied `floor`; zero if it already has.
duration expectedCatchUp(const catch_up_estimate &estimate, const database_name &name, log_position floor, time_point now);

/// Drops all positions, because they are not comparable across terms. The measured lags are kept.
void resetPositions(catch_up_estimate &estimate);

} // namespace mustardrouter
