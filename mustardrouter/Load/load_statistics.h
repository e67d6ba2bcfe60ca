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

/// Answers that one class of work got in one phase.
struct class_statistics {
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    /// Of statements that were done, from their intended start.
    std::vector<double> latenciesMs;
    std::map<std::string, std::uint64_t> failures;
};

/// Answers within one slice of time.
struct slice_statistics {
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<double> latenciesMs;
};

/// Length of a slice.
constexpr std::chrono::milliseconds sliceLength{250};

/// All figures of a run.
struct load_statistics {
    /// By phase and class.
    std::map<std::pair<std::size_t, load::work_class>, class_statistics> classes;
    std::vector<slice_statistics> slices;
    /// Statements by the database that ran them.
    std::map<std::string, std::uint64_t> statementsByDatabase;
    std::uint64_t statementsOnPrimaries = 0;
    std::uint64_t statementsOnReplicas = 0;
    std::chrono::microseconds maxGeneratorDelay{0};
};

/// One statement of an operation, for the figures.
struct statement_origin {
    std::size_t phase = 0;
    load::work_class workClass = load::ROSTER;
    /// A read whose rule lets a replica serve it.
    bool replicaMayServe = false;
    load_instant intendedAt;
};

/// Adds an answer that came `sinceStart` after the start of the run.
void recordAnswer(load_statistics &statistics,
                  const statement_origin &origin,
                  const wire::result &result,
                  load_instant::duration latency,
                  load_instant::duration sinceStart);

/// The value below which `fraction` of the values lie (nearest rank); zero without values.
double quantileOf(std::vector<double> values, double fraction);

/// The quantiles that reports show.
load::quantiles quantilesOf(std::vector<double> values);

/// Share of the reads that the rules allow on replicas that were served there.
double replicaReadShare(const load_statistics &statistics);

/// Share of the statements that ran on a primary.
double primaryLoad(const load_statistics &statistics);

} // namespace mustardrouter
