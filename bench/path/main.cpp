#include "bench/path/closed_loop.h"
#include "bench/path/thread_times.h"
#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Runtime/log.h"

#include <chrono>
#include <cstdio>
#include <iostream>

namespace
{

using namespace mustardrouter;
using namespace mustardrouter::bench;

constexpr auto runLength = std::chrono::milliseconds(3000);
constexpr std::size_t loadedConnections = 64;
constexpr std::size_t pipelined = 4;

/// Deployment whose databases add no delay, so that only the cost of the path is measured.
deployment pathDeployment()
{
    deployment sizes;
    sizes.name = "path";
    sizes.service = "path";
    sizes.places = {"first", "second", "third"};
    sizes.region = "region";
    sizes.groups = 1;
    sizes.databasesPerGroup = 3;
    sizes.slots = 64;
    sizes.connections = 256;
    sizes.serviceTime = std::chrono::microseconds(0);
    sizes.tables = {"CREATE TABLE path(value INTEGER)"};
    return sizes;
}

void printLatency(const char *name, const loop_result &result)
{
    std::printf("%-34s %8.0f statements/s  p50 %7.0f us  p99 %7.0f us  failed %zu\n",
                name,
                static_cast<double>(result.statements) / result.seconds,
                quantile(result.latencyMicros, 0.5),
                quantile(result.latencyMicros, 0.99),
                result.failed);
}

double timeOf(const std::map<std::string, double> &times, const std::string &name)
{
    const auto found = times.find(name);
    return found == times.end() ? 0 : found->second;
}

void runLoaded(const char *name, const std::string &entry, const entry_load &load)
{
    const auto before = threadCpuMicros();
    const loop_result result = runThroughEntry(entry, load, runLength);
    const auto after = threadCpuMicros();
    printLatency(name, result);
    double total = 0;
    for (const char *threadName : {"decisions", "network"}) {
        const double each = (timeOf(after, threadName) - timeOf(before, threadName)) / static_cast<double>(result.statements);
        std::printf("    %-10s %6.1f us a statement\n", threadName, each);
        total += each;
    }
    std::printf("    %-10s %6.1f us a statement, for entry and owner together\n", "sum", total);
}

int runAll(testbed &bed)
{
    const std::string group = groupNameOf(bed.deploymentSettings(), 0);
    const instance *owner = bed.ownerOf(group);
    const instance *other = nullptr;
    for (const auto &item : bed.instances()) {
        other = item.get() == owner ? other : item.get();
    }
    const Json::Value state = owner->status()["groups"][group];
    const database_standin *replica = nullptr;
    for (const database_standin *item : bed.databasesOf(group)) {
        replica = item->name() == state["primary"].asString() ? replica : item;
    }
    const std::uint64_t term = state["term"].asUInt64();
    printLatency("one read at a time, database", runAtDatabase(replica->address(), term, 1, runLength));
    const entry_load single{};
    const entry_load noToken{1, 1, false, false};
    printLatency("one read at a time, owner's entry", runThroughEntry(owner->callerAddress(), single, runLength));
    printLatency("one read at a time, other entry", runThroughEntry(other->callerAddress(), single, runLength));
    printLatency("the same without a token", runThroughEntry(other->callerAddress(), noToken, runLength));
    printLatency("one write at a time, other entry", runThroughEntry(other->callerAddress(), {1, 1, true, true}, runLength));
    printLatency("reads, 32 connections, database", runAtDatabase(replica->address(), term, 32, runLength));
    const entry_load reads{loadedConnections, pipelined, false, true};
    runLoaded("reads, through other entry", other->callerAddress(), reads);
    runLoaded("reads, one instance", owner->callerAddress(), reads);
    runLoaded("reads without a token", other->callerAddress(), {loadedConnections, pipelined, false, false});
    runLoaded("writes, through other entry", other->callerAddress(), {loadedConnections, pipelined, true, true});
    return 0;
}

} // namespace

/// Measures the path from caller to database over loopback: latency compared with direct access to the database,
/// processor time of the entry's and the owner's threads, and the throughput of one instance.
int main()
{
    setLogLevel("error");
    testbed bed(pathDeployment(), 2);
    const bool started = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.start());
            return true;
        },
        [](const error &what) {
            std::cerr << what.detail << '\n';
            return false;
        });
    if (!started || !bed.waitUntilServing(std::chrono::seconds(10))) {
        std::cerr << "the testbed does not serve\n";
        return 1;
    }
    const int code = runAll(bed);
    bed.stop();
    return code;
}
