#include "limit_history.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace mustardrouter;

namespace
{

int printCost()
{
    for (const std::size_t spenders : {1U, 3U, 9U, 72U}) {
        const limit_cost cost = measureLimitCost(spenders);
        std::printf("%zu spenders for each workspace: %.0f operations/s, refused %.5f, mean wait %.1f ms, %.0f messages/s (%s), "
                    "%.1f KB/s, between regions %.1f KB/s\n",
                    spenders,
                    cost.operationsPerSecond,
                    cost.refusedShare,
                    cost.meanWaitMillis,
                    cost.messagesPerSecond,
                    cost.byKind.c_str(),
                    cost.bytesPerSecond / 1000,
                    cost.bytesBetweenRegionsPerSecond / 1000);
    }
    return 0;
}

} // namespace

/// Runs COUNT random histories of each kind from FIRST_SEED on; prints those that exceed a limit. With --cost, measures the messages.
int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "--cost") {
        return printCost();
    }
    const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000;
    const std::uint64_t firstSeed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    double worst = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t served = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const limit_history_result result = runHistoryWithFaults(seed);
        served += result.served;
        worst = std::max(worst, result.worstWindow);
        if (result.worstWindow > 1) {
            exceeded += 1;
            std::printf(
                "seed %llu, %zu instances: %s\n", static_cast<unsigned long long>(seed), result.instances, result.description.c_str());
        }
    }
    std::printf("%llu histories with faults from seed %llu on: %llu operations, fullest window %.3f of what is allowed, %llu exceeded\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(firstSeed),
                static_cast<unsigned long long>(served),
                worst,
                static_cast<unsigned long long>(exceeded));
    std::uint64_t owedServed = 0;
    std::uint64_t owedRefused = 0;
    double worstSteady = 0;
    double worstRefused = 0;
    std::uint64_t worstSeed = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const limit_history_result result = runSteadyHistory(seed);
        owedServed += result.owedServed;
        owedRefused += result.owedRefused;
        worstSteady = std::max(worstSteady, result.worstWindow);
        const double refused =
            static_cast<double>(result.owedRefused) / std::max(1.0, static_cast<double>(result.owedRefused + result.owedServed));
        if (refused > worstRefused) {
            worstRefused = refused;
            worstSeed = seed;
        }
    }
    const double share = static_cast<double>(owedRefused) / std::max(1.0, static_cast<double>(owedRefused + owedServed));
    std::printf("%llu steady histories: %llu served, %llu refused (%.5f), most %.5f in seed %llu, fullest window %.3f\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(owedServed),
                static_cast<unsigned long long>(owedRefused),
                share,
                worstRefused,
                static_cast<unsigned long long>(worstSeed),
                worstSteady);
    return exceeded == 0 && worstSteady <= 1 && share < 0.001 ? 0 : 1;
}
