#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace mustardrouter::bench
{

/// Result of a closed-loop run.
struct loop_result {
    std::size_t statements = 0;
    std::size_t failed = 0;
    double seconds = 0;
    std::vector<double> latencyMicros;
};

/// Returns the quantile of the values, with `fraction` between 0 and 1.
double quantile(std::vector<double> values, double fraction);

/// Load of the callers on an entry.
struct entry_load {
    std::size_t connections = 1;
    /// Statements in flight on each connection.
    std::size_t perConnection = 1;
    bool writes = false;
    /// Whether callers send the session token of their last answer; without it the owner verifies by a round of reports
    /// from the databases that its term is still current.
    bool sendsToken = true;
};

/// Sends statements to an entry, each as soon as an earlier one on its connection is answered.
loop_result runThroughEntry(const std::string &entry, const entry_load &load, std::chrono::milliseconds length);

/// Sends the same reads directly to a database, as the baseline without instances.
loop_result runAtDatabase(const std::string &database, std::uint64_t term, std::size_t connections, std::chrono::milliseconds length);

} // namespace mustardrouter::bench
