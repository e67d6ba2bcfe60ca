#pragma once

#include "scenario.h"

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// What one history showed.
struct run_result {
    std::vector<std::string> violations;
    /// Faults have ended, but no owner serves.
    bool stuck = false;
    /// Each request in the order of sending, then the surviving log.
    std::vector<std::string> trace;
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t replicaReads = 0;
    /// Terms above the first in which a primary served.
    std::size_t failovers = 0;
};

/// Runs one history in virtual time and checks it.
run_result runHistory(const scenario &what, defect injected);

} // namespace mustardrouter::histories
