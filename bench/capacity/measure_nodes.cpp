#include "bench/capacity/measurements.h"
#include "bench/capacity/meters.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Membership/rendezvous.h"
#include "mustardrouter/Ownership/ownership_record.h"

#include <array>

namespace mustardrouter::bench
{

namespace
{

constexpr std::array<std::size_t, 6> nodeCounts{21, 41, 81, 163, 325, 650};

std::vector<instance_view> makeNodes(std::size_t count)
{
    std::vector<instance_view> nodes;
    constexpr std::uint64_t start = 1766500000000000;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "entry-" + std::to_string(index) + "." + std::to_string(start + index);
        const std::string address = "10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
        nodes.push_back({instance_name(name), address, "place-" + std::to_string(index % 5), start + index, false});
    }
    return nodes;
}

double rankMicros(const std::vector<instance_view> &nodes)
{
    constexpr std::size_t groups = 50;
    std::vector<instance_name> names;
    names.reserve(nodes.size());
    for (const instance_view &node : nodes) {
        names.push_back(node.name);
    }
    const double before = threadMicros();
    for (std::size_t group = 0; group < groups; ++group) {
        rankTopInstances("group-" + std::to_string(group), names, holdersPerGroup + 2);
    }
    return (threadMicros() - before) / groups;
}

double mergeMicros(const std::vector<instance_view> &nodes)
{
    constexpr int rounds = 20;
    instance_directory directory;
    mergeInstanceList(directory, nodes, time_point{});
    const double before = threadMicros();
    for (int round = 0; round < rounds; ++round) {
        mergeInstanceList(directory, nodes, time_point{});
    }
    return (threadMicros() - before) / rounds;
}

double directoryBytes(const std::vector<instance_view> &nodes)
{
    const std::int64_t before = heapBytes();
    instance_directory directory;
    mergeInstanceList(directory, nodes, time_point{});
    return static_cast<double>(heapBytes() - before);
}

} // namespace

std::vector<series> measureNodes()
{
    series rank{"membership.rank_one_group", "nodes", "us", {}};
    series merge{"membership.merge_list", "nodes", "us", {}};
    series state{"membership.state", "nodes", "bytes", {}};
    for (const std::size_t count : nodeCounts) {
        const std::vector<instance_view> nodes = makeNodes(count);
        const auto size = static_cast<double>(count);
        rank.samples.push_back({size, rankMicros(nodes)});
        merge.samples.push_back({size, mergeMicros(nodes)});
        state.samples.push_back({size, directoryBytes(nodes)});
    }
    return {rank, merge, state};
}

} // namespace mustardrouter::bench
