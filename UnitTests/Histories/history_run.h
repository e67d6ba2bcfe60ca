#pragma once

#include "scenario.h"

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// Result of one history.
struct run_result {
    std::vector<std::string> violations;
    /// No owner was serving at the end, although all faults had ended.
    bool stuck = false;
    /// Each request in the order of sending, then the final log.
    std::vector<std::string> trace;
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t replicaReads = 0;
    /// Number of term changes in the final log.
    std::size_t failovers = 0;
};

/// Runs one history in virtual time and checks it.
run_result runHistory(const scenario &what, defect injected);

} // namespace mustardrouter::histories
