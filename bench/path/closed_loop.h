#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace mustardrouter::bench
{

/// What a run of a closed loop gave.
struct loop_result {
    std::size_t statements = 0;
    std::size_t failed = 0;
    double seconds = 0;
    std::vector<double> latencyMicros;
};

/// Value below which a share of the latencies lies.
double quantile(std::vector<double> values, double share);

/// What callers send.
struct entry_load {
    std::size_t connections = 1;
    /// Statements in flight on each connection.
    std::size_t perConnection = 1;
    bool writes = false;
    /// Whether callers present the token of their last answer; without it the owner asks its replicas
    /// in a round whether it still leads.
    bool keepsToken = true;
};

/// Statements on callers' connections to an entry, each sent when the one before it is answered.
loop_result runThroughEntry(const std::string &entry, const entry_load &load, std::chrono::milliseconds length);

/// The same reads on connections to a database, without the system between.
loop_result runAtDatabase(const std::string &database, std::uint64_t term, std::size_t connections, std::chrono::milliseconds length);

} // namespace mustardrouter::bench
