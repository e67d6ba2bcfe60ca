#pragma once

#include "mustardrouter/Core/ids.h"

#include <compare>

namespace mustardrouter
{

/// Identifies a log entry. Two logs may hold different entries at the same position, but never two
/// different entries with the same term and position.
struct log_entry {
    term_number term;
    log_position position;

    auto operator<=>(const log_entry &) const = default;
    bool operator==(const log_entry &) const = default;
};

} // namespace mustardrouter
