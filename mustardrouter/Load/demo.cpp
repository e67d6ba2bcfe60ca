#include "mustardrouter/Load/demo.h"

#include "mustardrouter/Load/final_states.h"
#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Load/workload.h"

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <thread>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

class progress_log
{
public:
    void print(const std::string &line) const
    {
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_startedAt;
        std::printf("%7.3f s  %s\n", elapsed.count(), line.c_str());
        std::fflush(stdout);
    }

private:
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
};

void printOwners(const progress_log &progress, testbed &bed)
{
    for (std::size_t group = 0; group < bed.deploymentSettings().groups; ++group) {
        const std::string name = groupNameOf(bed.deploymentSettings(), group);
        const instance *owner = bed.ownerOf(name);
        if (owner == nullptr) {
            progress.print("group " + name + " has no owner yet");
            continue;
        }
        const Json::Value status = owner->status()["groups"][name];
        progress.print("group " + name + ": owner " + owner->name() + ", term " + status["term"].asString() + ", primary "
                       + status["primary"].asString());
    }
}

struct demo_outcome {
    std::chrono::milliseconds gap{0};
    bool served = true;
};

/// Kills the primary of the first group, waits until another primary serves the group, and restarts the killed one.
demo_outcome failOver(const progress_log &progress, testbed &bed, load_instant &killedAt)
{
    const std::string group = groupNameOf(bed.deploymentSettings(), 0);
    database_standin *victim = bed.primaryOf(group);
    demo_outcome outcome;
    if (victim == nullptr) {
        outcome.served = false;
        return outcome;
    }
    progress.print("kills the primary " + victim->name() + ": its connections break, what was sent to it is unknown");
    killedAt = std::chrono::steady_clock::now();
    victim->kill();
    progress.print("the owner fences the group in its next term and promotes the replica with the highest (term, position)");
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    database_standin *next = victim;
    while (next == victim || next == nullptr) {
        if (std::chrono::steady_clock::now() > deadline) {
            outcome.served = false;
            return outcome;
        }
        std::this_thread::sleep_for(5ms);
        next = bed.primaryOf(group);
    }
    progress.print(next->name() + " is primary: its barrier entry is confirmed by a replica, so every acknowledged write is there");
    std::this_thread::sleep_for(500ms);
    victim->restart();
    progress.print(victim->name() + " returns, drops its unacknowledged tail and follows the new term");
    return outcome;
}

Json::Value makeReport(const demo_settings &settings, const workload &run, const check_result &result, const demo_outcome &outcome)
{
    const history &seen = run.observedHistory();
    const std::uint64_t reads = seen.replicaReads + seen.primaryReads;
    std::vector<double> latencies;
    for (const slice_statistics &slice : run.statistics().slices) {
        latencies.insert(latencies.end(), slice.latenciesMs.begin(), slice.latenciesMs.end());
    }
    const load::quantiles latency = quantilesOf(std::move(latencies));
    Json::Value report(Json::objectValue);
    report["deployment"] = settings.deployment;
    report["seed"] = Json::UInt64(settings.seed);
    report["statements"] = Json::UInt64(seen.statements);
    report["done"] = Json::UInt64(seen.done);
    report["not_run"] = Json::UInt64(seen.notRun);
    report["unknown"] = Json::UInt64(seen.unknown);
    report["stale_reads"] = Json::UInt64(result.staleReads);
    report["lost_writes"] = Json::UInt64(result.lostWrites);
    report["doubled_writes"] = Json::UInt64(result.doubledWrites);
    report["cross_transaction"] = Json::UInt64(result.crossTransaction);
    report["ran_though_not_run"] = Json::UInt64(result.ranThoughNotRun);
    report["misattributed"] = Json::UInt64(result.misattributed);
    report["replica_read_share"] = reads == 0 ? 0.0 : static_cast<double>(seen.replicaReads) / static_cast<double>(reads);
    report["failover_gap_ms"] = Json::Int64(outcome.gap.count());
    report["latency_ms"]["p50"] = latency.p50_ms();
    report["latency_ms"]["p99"] = latency.p99_ms();
    return report;
}

bool writeReport(const std::string &file, const Json::Value &report)
{
    std::ofstream out(file);
    Json::StreamWriterBuilder writer;
    out << Json::writeString(writer, report) << '\n';
    return out.good();
}

int reportOutcome(const demo_settings &settings,
                  const progress_log &progress,
                  const Json::Value &report,
                  const check_result &result,
                  const demo_outcome &outcome)
{
    Json::StreamWriterBuilder writer;
    std::printf("%s\n", Json::writeString(writer, report).c_str());
    if (!settings.reportFile.empty() && !writeReport(settings.reportFile, report)) {
        std::fprintf(stderr, "%s: the report cannot be written\n", settings.reportFile.c_str());
        return exitFailed;
    }
    if (!outcome.served) {
        progress.print("FAILED: the group was not served again");
        return exitFailed;
    }
    if (report["done"].asUInt64() == 0) {
        progress.print("FAILED: no statement was done");
        return exitFailed;
    }
    progress.print(allPromisesKept(result) ? "every promise was kept" : "FAILED: a promise was broken");
    return allPromisesKept(result) ? exitDone : exitFailed;
}

load::phase demoPhase(const demo_settings &settings)
{
    const std::vector<std::pair<load::work_class, double>> mix{{load::SAVE, 0.3}, {load::CHECK_IN, 0.1}, {load::BROWSE, 0.6}};
    load::phase phase;
    phase.set_name("demo");
    phase.set_seconds(settings.seconds);
    phase.set_operations_per_second(settings.operationsPerSecond);
    for (const auto &[workClass, share] : mix) {
        load::work_share &added = *phase.add_mix();
        added.set_class_(workClass);
        added.set_share(share);
    }
    return phase;
}

} // namespace

int runDemo(const demo_settings &settings)
{
    const std::optional<deployment> sizes = findDeployment(settings.deployment);
    if (!sizes) {
        std::fprintf(stderr, "unknown deployment \"%s\"; expected kovacik or granite-notch\n", settings.deployment.c_str());
        return exitUsage;
    }
    const progress_log progress;
    testbed bed(*sizes, settings.instances);
    const bool started = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.start());
            return true;
        },
        [](const error &what) {
            std::fprintf(stderr, "%s: %s\n", std::string(toString(what.cause)).c_str(), what.detail.c_str());
            return false;
        });
    if (!started || !bed.waitUntilServing(20s)) {
        progress.print("FAILED: the groups are not served");
        return exitFailed;
    }
    progress.print("platform, " + std::to_string(sizes->groups * sizes->databasesPerGroup) + " databases and "
                   + std::to_string(settings.instances) + " instances run on loopback");
    printOwners(progress, bed);

    workload_settings workloadSettings;
    workloadSettings.service = sizes->service;
    workloadSettings.entries = bed.entryAddresses();
    workloadSettings.phases.push_back(demoPhase(settings));
    workloadSettings.seed = settings.seed;
    for (std::size_t group = 0; group < sizes->groups; ++group) {
        workloadSettings.groups.push_back(groupNameOf(*sizes, group));
    }
    workload run(workloadSettings);
    run.start();
    progress.print("callers save and read back through other entries, book pairs in transactions, and browse");
    const auto halfDuration = std::chrono::milliseconds(settings.seconds * 500);
    std::this_thread::sleep_for(halfDuration);
    load_instant killedAt;
    demo_outcome outcome = failOver(progress, bed, killedAt);
    std::this_thread::sleep_for(halfDuration);
    run.finish();
    printOwners(progress, bed);
    constexpr auto beforeKill = 500ms;
    constexpr auto afterKill = 10s;
    outcome.gap = longestWriteGap(run.observedHistory(), workloadSettings.groups.front(), killedAt - beforeKill, killedAt + afterKill);
    const check_result result = check(run.observedHistory(), readFinalStates(bed));
    return reportOutcome(settings, progress, makeReport(settings, run, result, outcome), result, outcome);
}

} // namespace mustardrouter
