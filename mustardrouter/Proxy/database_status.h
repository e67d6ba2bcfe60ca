#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// What a database says of itself when asked.
struct database_status {
    bool primary = false;
    term_number term;
    /// End of its log, received but maybe not applied.
    log_entry received;
    /// Term below which it accepts no primary; zero when it does not hold back.
    term_number pausedUntilTerm;
    duration lag{};
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;
};

} // namespace mustardrouter
