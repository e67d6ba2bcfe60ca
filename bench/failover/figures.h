#pragma once

#include "group_simulation.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// Samples of one duration, reported as median, 99th percentile and maximum.
struct figures {
    std::string name;
    std::vector<duration> samples;
};

/// Formats "median / p99 / maximum" in milliseconds, or "-" without samples.
std::string describe(const figures &of);

/// Failover gaps and the durations of their stages over many failovers.
struct gap_figures {
    figures gap{"gap", {}};
    figures detection{"detection", {}};
    figures fence{"fence", {}};
    figures promotion{"promotion", {}};
    figures resume{"resume", {}};
    std::size_t unfinished = 0;
};

/// Adds one failover; without a write done after the fault it counts as unfinished.
void add(gap_figures &to, const failover_times &times);

/// Prints one row of a Markdown table.
void printRow(const std::string &label, const gap_figures &of);

} // namespace mustardrouter
