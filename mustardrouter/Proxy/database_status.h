#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Status that a database reports on request.
struct database_status {
    bool primary = false;
    term_number term;
    /// End of its log, received but possibly not applied.
    log_entry received;
    /// While it is paused, the lowest term whose primary it accepts; zero when it is not paused.
    term_number pausedUntilTerm;
    duration lag{};
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;
};

} // namespace mustardrouter
