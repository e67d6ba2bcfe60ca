#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardrouter
{

/// What the choice of a database for a read looks at.
struct read_candidate {
    std::size_t index = 0;
    bool primary = false;
    /// Follows the current term and takes work.
    bool usable = false;
    log_position applied;
    std::size_t freeSlots = 0;
    std::size_t running = 0;
    double serviceMicros = 0;
    /// A slow replica that gets only a share of the reads, and this one is not in it.
    bool ejected = false;
};

/// What a read does next.
struct read_choice {
    enum class kind : std::uint8_t {
        /// Runs on the database `index`.
        run,
        /// A replica is fresh enough but has no free slot.
        waitForSlot,
        /// No replica is fresh enough.
        noneFresh,
    };
    kind action = kind::noneFresh;
    std::size_t index = 0;
};

/// The replica that is fresh enough and expected to answer first. A slow replica is passed over
/// while another is fresh enough.
read_choice chooseForRead(const std::vector<read_candidate> &candidates, log_position floor);

/// Slots of a primary that reads leave free for writes.
std::uint32_t slotsReservedForWrites(std::uint32_t slots);

} // namespace mustardrouter
