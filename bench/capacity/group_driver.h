#pragma once

#include "mustardrouter/Routing/group_engine.h"

#include <cstdint>
#include <string>

namespace mustardrouter::bench
{

/// What an engine asked for.
struct engine_totals {
    std::uint64_t platformReads = 0;
    std::uint64_t platformWrites = 0;
    std::uint64_t orders = 0;
    std::uint64_t orderBytes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t heartbeatBytes = 0;
};

/// One engine in virtual time. Orders, reads and writes are answered within the same step, as by
/// healthy databases and a healthy platform.
struct driven_group {
    group_engine engine;
    std::uint64_t recordVersion = 1;
    std::uint64_t position = 1;
    engine_totals totals;
    /// Who sends heartbeats to a deputy; empty for other roles.
    instance_name heartbeatsFrom;
};

/// Part in the group that the driven engine gets.
enum class driven_role : std::uint8_t {
    /// Holds no range and is not among the group's first candidates.
    bystander,
    /// Among the first candidates, while others still hold the ranges, as after a restart.
    candidate,
    deputy,
    owner,
};

/// An engine of a group of `databases` databases, settled in its role at `now`.
driven_group makeGroup(const std::string &name, driven_role role, std::size_t databases, time_point now);

/// Applies an event and answers what the engine asks, until it asks nothing more.
void drive(driven_group &group, const engine_event &event, time_point now);

/// Reports that the databases send of themselves once their logs have grown.
void pushReports(driven_group &group, time_point now);

/// Lets time pass up to `until`, as the decision thread does for an engine.
void advanceTime(driven_group &group, time_point from, time_point until);

} // namespace mustardrouter::bench
