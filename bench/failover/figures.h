#pragma once

#include "group_simulation.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// Durations of one kind, of which the median, the 99th percentile and the worst are shown.
struct figures {
    std::string name;
    std::vector<duration> samples;
};

/// "median / p99 / worst" in milliseconds, or "-" without samples.
std::string describe(const figures &of);

/// Failover gaps and their stages, gathered over many failovers.
struct gap_figures {
    figures gap{"gap", {}};
    figures detection{"detection", {}};
    figures fence{"fence", {}};
    figures promotion{"promotion", {}};
    figures resume{"resume", {}};
    std::size_t unfinished = 0;
};

/// Adds one failover; one without an end counts as unfinished.
void add(gap_figures &to, const failover_times &times);

/// Prints one row of a Markdown table.
void printRow(const std::string &label, const gap_figures &of);

} // namespace mustardrouter
