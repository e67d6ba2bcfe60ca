#include "bench/capacity/group_driver.h"
#include "bench/capacity/measurements.h"
#include "bench/capacity/meters.h"

#include <array>
#include <memory>

namespace mustardrouter::bench
{

namespace
{

constexpr std::array<std::size_t, 6> groupCounts{37, 73, 147, 293, 586, 880};
constexpr std::array<std::size_t, 6> databaseCounts{3, 5, 9, 15, 21, 27};
constexpr duration simulatedDuration = std::chrono::seconds(4);
constexpr double simulatedSeconds = 4;
constexpr time_point begin{std::chrono::hours(1)};

struct role_run {
    double cpuMicros = 0;
    double heap = 0;
    engine_totals totals;
};

/// Measures the cost per simulated second of `count` groups in which one instance has a given role.
role_run runRole(driven_role role, std::size_t count, std::size_t databases)
{
    role_run result;
    const std::int64_t heapBefore = heapBytes();
    std::vector<driven_group> groups;
    groups.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        groups.push_back(makeGroup("group-" + std::to_string(index), role, databases, begin));
    }
    const double before = threadMicros();
    for (driven_group &group : groups) {
        advanceTime(group, begin, begin + simulatedDuration);
    }
    result.cpuMicros = (threadMicros() - before) / simulatedSeconds;
    result.heap = static_cast<double>(heapBytes() - heapBefore);
    for (const driven_group &group : groups) {
        result.totals.platformReads += group.totals.platformReads;
        result.totals.platformWrites += group.totals.platformWrites;
        result.totals.orders += group.totals.orders;
        result.totals.orderBytes += group.totals.orderBytes;
        result.totals.heartbeats += group.totals.heartbeats;
        result.totals.heartbeatBytes += group.totals.heartbeatBytes;
    }
    return result;
}

template<typename Counts, typename Run>
std::vector<series> runSizes(const std::string &prefix, const std::string &dimension, const Counts &counts, Run run)
{
    series cpu{prefix + ".cpu", dimension, "us/s", {}};
    series state{prefix + ".state", dimension, "bytes", {}};
    series reads{prefix + ".platform_reads", dimension, "calls/s", {}};
    series messages{prefix + ".messages", dimension, "messages/s", {}};
    series bytes{prefix + ".bytes", dimension, "bytes/s", {}};
    for (const std::size_t count : counts) {
        const role_run found = run(count);
        const auto size = static_cast<double>(count);
        // Counts an order and its report as two messages.
        const auto sent = static_cast<double>(2 * found.totals.orders + found.totals.heartbeats);
        const auto sentBytes = static_cast<double>(found.totals.orderBytes + found.totals.heartbeatBytes);
        cpu.samples.push_back({size, found.cpuMicros});
        state.samples.push_back({size, found.heap});
        reads.samples.push_back({size, static_cast<double>(found.totals.platformReads) / simulatedSeconds});
        messages.samples.push_back({size, sent / simulatedSeconds});
        bytes.samples.push_back({size, sentBytes / simulatedSeconds});
    }
    return {cpu, state, reads, messages, bytes};
}

} // namespace

std::vector<series> measureGroups()
{
    constexpr std::size_t databasesPerGroup = 3;
    std::vector<series> all;
    const std::array<std::pair<driven_role, const char *>, 4> roles{{{driven_role::bystander, "bystander"},
                                                                     {driven_role::candidate, "candidate"},
                                                                     {driven_role::deputy, "deputy"},
                                                                     {driven_role::owner, "owner"}}};
    for (const auto &[role, name] : roles) {
        const auto found = runSizes(name, "groups", groupCounts, [role = role](std::size_t count) {
            return runRole(role, count, databasesPerGroup);
        });
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

std::vector<series> measureDatabases()
{
    constexpr std::size_t groups = 20;
    return runSizes("owner20", "databases", databaseCounts, [](std::size_t count) {
        return runRole(driven_role::owner, groups, count);
    });
}

} // namespace mustardrouter::bench
