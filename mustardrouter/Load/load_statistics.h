#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Load/history.h"
#include "mustardrouter/Schema/load.pb.h"
#include "mustardrouter/Schema/wire.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Results of one class of work in one phase.
struct class_statistics {
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    /// Of statements that were done, from their intended start (open loop).
    std::vector<double> latenciesMs;
    std::map<std::string, std::uint64_t> failures;
};

/// Results that came within one time slice.
struct slice_statistics {
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latenciesMs;
};

constexpr std::chrono::milliseconds sliceLength{250};

/// Statistics of a run.
struct load_statistics {
    /// By index of the phase, and class.
    std::map<std::pair<std::size_t, load::work_class>, class_statistics> classes;
    std::vector<slice_statistics> slices;
    /// Statements that were done, by the database that ran them.
    std::map<std::string, std::uint64_t> statementsByDatabase;
    std::uint64_t statementsOnPrimaries = 0;
    std::uint64_t statementsOnReplicas = 0;
    /// Longest delay between the intended and the actual start of an operation.
    std::chrono::microseconds maxGeneratorDelay{0};
};

/// What the statistics need to know about a statement.
struct statement_origin {
    std::size_t phase = 0;
    load::work_class workClass = load::ROSTER;
    /// A read whose rule lets a replica serve it.
    bool replicaMayServe = false;
    load_instant intendedAt;
};

/// Adds a result that came `sinceStart` after the start of the run.
void recordAnswer(load_statistics &statistics,
                  const statement_origin &origin,
                  const wire::result &result,
                  load_instant::duration latency,
                  load_instant::duration sinceStart);

/// Quantile by nearest rank: the smallest value with at least `fraction` of the values at or below it; zero without values.
double quantileOf(std::vector<double> values, double fraction);

/// The quantiles of a report: p50, p90, p99 and the maximum.
load::quantiles quantilesOf(std::vector<double> values);

/// Share of reads that were served by a replica, among those whose rule allows it.
double replicaReadShare(const load_statistics &statistics);

/// Share of the statements done that ran on a primary.
double primaryLoad(const load_statistics &statistics);

} // namespace mustardrouter
