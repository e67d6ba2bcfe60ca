#pragma once

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// What came out of one random history.
struct limit_history_result {
    std::size_t instances = 0;
    /// Largest count of operations in a window divided by what is allowed.
    double worstWindow = 0;
    std::string description;
    std::uint64_t served = 0;
    std::uint64_t owedServed = 0;
    std::uint64_t owedRefused = 0;
};

/// Demand far beyond the limits, with all faults: the limits must hold in every window.
limit_history_result runHistoryWithFaults(std::uint64_t seed);
/// Demand within the limits, uneven and moving between instances, without faults: nearly all of it must be served.
limit_history_result runSteadyHistory(std::uint64_t seed);

} // namespace mustardrouter
