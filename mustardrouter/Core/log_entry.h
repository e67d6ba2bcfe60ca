#pragma once

#include "mustardrouter/Core/ids.h"

#include <compare>

namespace mustardrouter
{

/// Identity of a log entry. Two logs may hold different entries at one position, never two
/// entries of one (term, position).
struct log_entry {
    term_number term;
    log_position position;

    auto operator<=>(const log_entry &) const = default;
    bool operator==(const log_entry &) const = default;
};

} // namespace mustardrouter
