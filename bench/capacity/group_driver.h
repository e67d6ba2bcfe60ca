#pragma once

#include "mustardrouter/Routing/group_engine.h"

#include <cstdint>
#include <string>

namespace mustardrouter::bench
{

/// Counts of the actions that an engine requested.
struct engine_totals {
    std::uint64_t platformReads = 0;
    std::uint64_t platformWrites = 0;
    std::uint64_t orders = 0;
    std::uint64_t orderBytes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t heartbeatBytes = 0;
};

/// A group engine in virtual time. Orders, reads and writes are answered immediately, as if the databases and the
/// platform were healthy and had no latency.
struct driven_group {
    group_engine engine;
    std::uint64_t recordVersion = 1;
    std::uint64_t position = 1;
    engine_totals totals;
    /// Instance that sends heartbeats to a deputy; empty for other roles.
    instance_name heartbeatsFrom;
};

/// Role of the simulated engine in its group.
enum class driven_role : std::uint8_t {
    /// Holds no range and is not among the group's first candidates.
    bystander,
    /// Is among the first candidates while other instances still hold the ranges, as after a restart.
    candidate,
    deputy,
    owner,
};

/// Creates the engine of a group of `databases` databases that has reached its role at `now`.
driven_group makeGroup(const std::string &name, driven_role role, std::size_t databases, time_point now);

/// Applies an event and answers the resulting actions until there are none left.
void drive(driven_group &group, const engine_event &event, time_point now);

/// Sends the unsolicited reports of all databases after their logs have grown.
void pushReports(driven_group &group, time_point now);

/// Advances the clock to `until` in ticks, skipping idle engines as the decision thread does.
void advanceTime(driven_group &group, time_point from, time_point until);

} // namespace mustardrouter::bench
