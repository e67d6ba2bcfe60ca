#pragma once

#include "mustardrouter/Core/outcome.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Instant on the load generator's clock.
using load_instant = std::chrono::steady_clock::time_point;

/// A single-row write and the outcome that its caller got.
struct recorded_write {
    std::string id;
    std::string group;
    outcome kind = outcome::unknown;
    load_instant answeredAt;
};

/// A transaction that writes two rows, and the outcome that its caller got.
struct recorded_pair {
    std::string id;
    std::string owner;
    std::string group;
    outcome kind = outcome::unknown;
};

/// What all callers of one run observed.
struct history {
    std::vector<recorded_write> writes;
    std::vector<recorded_pair> pairs;
    std::uint64_t statements = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    /// Reads that did not return an acknowledged write of their own session.
    std::uint64_t staleReads = 0;
    /// Replies with the rows of another request.
    std::uint64_t misattributed = 0;
};

/// Rows in a group's tables after the run.
struct final_state {
    std::map<std::string, std::uint64_t> itemCounts;
    struct pair_rows {
        std::uint64_t rows = 0;
        bool mixedOwners = false;
        std::string owner;
    };
    std::map<std::string, pair_rows> pairs;
};

/// Number of violations by kind; all zero when every promise was kept.
struct check_result {
    std::uint64_t staleReads = 0;
    std::uint64_t lostWrites = 0;
    std::uint64_t doubledWrites = 0;
    std::uint64_t crossTransaction = 0;
    std::uint64_t ranThoughNotRun = 0;
    std::uint64_t misattributed = 0;
};

/// Compares what callers observed with the final state of each group.
check_result check(const history &observed, const std::map<std::string, final_state> &groups);

/// Whether every promise was kept.
bool allPromisesKept(const check_result &result);

/// Longest time between two consecutive acknowledged writes of a group within `from` to `to`; zero with fewer than two.
std::chrono::milliseconds longestWriteGap(const history &observed, const std::string &group, load_instant from, load_instant to);

} // namespace mustardrouter
