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

/// A single-row write as its caller saw it.
struct recorded_write {
    std::string id;
    std::string group;
    outcome kind = outcome::unknown;
    load_instant answered;
};

/// A transaction of two rows as its caller saw it.
struct recorded_pair {
    std::string id;
    std::string owner;
    std::string group;
    outcome kind = outcome::unknown;
};

/// All that callers saw in one run.
struct history {
    std::vector<recorded_write> writes;
    std::vector<recorded_pair> pairs;
    std::uint64_t statements = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    /// Reads that missed the session's own acknowledged write.
    std::uint64_t staleReads = 0;
    /// Answers with rows that another request asked for.
    std::uint64_t misattributed = 0;
};

/// Rows of one group's final state.
struct final_state {
    std::map<std::string, std::uint64_t> itemCounts;
    struct pair_rows {
        std::uint64_t rows = 0;
        bool mixedOwners = false;
        std::string owner;
    };
    std::map<std::string, pair_rows> pairs;
};

/// What a checker found wrong; all zero when every promise was kept.
struct verdict {
    std::uint64_t staleReads = 0;
    std::uint64_t lostWrites = 0;
    std::uint64_t doubledWrites = 0;
    std::uint64_t crossTransaction = 0;
    std::uint64_t ranThoughNotRun = 0;
    std::uint64_t misattributed = 0;
};

/// Compares what callers saw with the final state of each group.
verdict check(const history &observed, const std::map<std::string, final_state> &groups);

/// Whether every promise was kept.
bool isClean(const verdict &result);

/// Longest time between two acknowledged writes of a group from `from` to `to`.
std::chrono::milliseconds longestWriteGap(const history &observed, const std::string &group, load_instant from, load_instant to);

} // namespace mustardrouter
