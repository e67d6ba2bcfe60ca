#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstddef>
#include <optional>
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
};

/// The replica that is fresh enough and expected to answer first; the primary only when no
/// replica is fresh enough and it keeps a slot free for writes. Nothing means: wait.
std::optional<std::size_t> chooseForRead(const std::vector<read_candidate> &candidates, log_position floor);

} // namespace mustardrouter
