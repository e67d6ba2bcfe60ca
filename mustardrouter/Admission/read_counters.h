#pragma once

#include <cstdint>

namespace mustardrouter
{

/// Counts where reads that may run on a replica were started.
struct read_counters {
    /// Started on a replica that was fresh enough, immediately or after waiting for a slot.
    std::uint64_t onReplica = 0;
    /// Started on a replica after waiting for it to catch up.
    std::uint64_t caughtUp = 0;
    /// Started on the primary, because no replica was expected to catch up soon enough or none did.
    std::uint64_t onPrimary = 0;
};

} // namespace mustardrouter
