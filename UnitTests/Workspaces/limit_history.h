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

/// Cost of the messages between instances.
struct limit_cost {
    double messagesPerSecond = 0;
    /// Without the headers of the network.
    double bytesPerSecond = 0;
    double bytesBetweenRegionsPerSecond = 0;
    double operationsPerSecond = 0;
    double refusedShare = 0;
    double meanWaitMillis = 0;
    std::string byKind;
};

/// 140 instances in 3 regions, 87 workspaces with sizes of skew 1.2, 1,000 operations a second, limits of 1.6 times the usual. Each
/// workspace is served by `spendersEach` instances.
limit_cost measureLimitCost(std::size_t spendersEach);

} // namespace mustardrouter
