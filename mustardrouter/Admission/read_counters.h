#pragma once

#include <cstdint>

namespace mustardrouter
{

/// How the reads that rules allow on replicas were placed.
struct read_counters {
    /// Started on a replica that was fresh enough, at once or after a wait for a slot.
    std::uint64_t onReplica = 0;
    /// Started on a replica after a wait until it had caught up.
    std::uint64_t caughtUp = 0;
    /// Started on the primary, because no replica was expected to catch up soon enough.
    std::uint64_t onPrimary = 0;
};

} // namespace mustardrouter
