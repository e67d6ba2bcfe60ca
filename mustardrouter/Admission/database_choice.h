#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardrouter
{

/// Properties of a database that decide whether a read is sent there.
struct read_candidate {
    std::size_t index = 0;
    bool primary = false;
    /// Follows the current term, is reachable and is not leaving.
    bool usable = false;
    log_position applied;
    std::size_t freeSlots = 0;
    std::size_t running = 0;
    double serviceMicros = 0;
    /// A slow replica with a reduced share of the reads and no credit for this one.
    bool ejected = false;
};

/// Decision for one read.
struct read_choice {
    enum class kind : std::uint8_t {
        /// Run on the database `index`.
        run,
        /// A replica is fresh enough, but none of these has a free slot.
        waitForSlot,
        /// No replica is fresh enough.
        noneFresh,
    };
    kind action = kind::noneFresh;
    std::size_t index = 0;
};

/// Chooses the replica that is fresh enough, has a free slot and is expected to answer first. An ejected replica is
/// chosen only if no other is fresh enough.
read_choice chooseForRead(const std::vector<read_candidate> &candidates, log_position floor);

/// Number of slots of a primary that reads leave free for writes.
std::uint32_t slotsReservedForWrites(std::uint32_t slots);

} // namespace mustardrouter
