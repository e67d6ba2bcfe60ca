#include "mustardrouter/Proxy/group_holders.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace mustardrouter
{

namespace
{

/// With this many connections for each instance, all of them hold their own.
constexpr std::size_t minConnectionsPerInstance = 3;
/// Holders beyond this number for each slot of a database add connections that wait, and spread what is known of its load.
constexpr std::uint32_t holdersPerSlot = 4;
/// Share of a database's connections that holders may open. The rest is for role checks, for holders that have just been replaced,
/// and for connections of machines that lost power, which count for some seconds more.
constexpr double holderShare = 0.75;

std::size_t holderCount(const group_limits &limits, std::uint32_t slots)
{
    const auto count = static_cast<std::size_t>(limits.connections * holderShare / connectionsPerHolder);
    // While lists differ, a holder of the old list and its successor may both have connections.
    const std::size_t countWithSuccessor = limits.connections / connectionsPerHolder;
    const std::size_t useful = std::size_t{holdersPerSlot} * slots;
    return std::max<std::size_t>(std::min({count, countWithSuccessor > 0 ? countWithSuccessor - 1 : 0, useful}), 1);
}

} // namespace

std::vector<data_centre_candidates> candidatesOf(const instance_listing &instances)
{
    std::map<std::string_view, data_centre_candidates> byDataCentre;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const listed_instance &instance = instances[index];
        if (instance.leaving) {
            continue;
        }
        data_centre_candidates &candidates = byDataCentre[instance.dataCentre];
        candidates.dataCentre = instance_name(instance.dataCentre);
        candidates.instances.push_back({instance.name.value(), instance.capacity});
        candidates.indexes.push_back(index);
    }
    std::vector<data_centre_candidates> result;
    result.reserve(byDataCentre.size());
    for (auto &[dataCentre, candidates] : byDataCentre) {
        result.push_back(std::move(candidates));
    }
    return result;
}

std::vector<std::size_t> holdersOf(std::string_view group,
                                   const group_limits &limits,
                                   std::uint32_t slots,
                                   const std::vector<data_centre_candidates> &candidates)
{
    std::size_t available = 0;
    for (const data_centre_candidates &one : candidates) {
        available += one.indexes.size();
    }
    if (available == 0 || limits.connections >= minConnectionsPerInstance * available) {
        return {};
    }
    const std::size_t count = std::min(holderCount(limits, slots), available);
    std::vector<instance_name> dataCentres;
    dataCentres.reserve(candidates.size());
    std::vector<std::vector<std::size_t>> ranked;
    ranked.reserve(candidates.size());
    for (const data_centre_candidates &one : candidates) {
        dataCentres.push_back(one.dataCentre);
        ranked.push_back(rankTopByWeight(group, one.instances, count));
    }
    // One from each data centre in turn. The turn starts at another data centre for each group, so that the remainder is spread.
    const std::vector<std::size_t> turn = rankTopInstances(group, dataCentres, dataCentres.size());
    std::vector<std::size_t> holders;
    for (std::size_t round = 0; holders.size() < count; ++round) {
        for (const std::size_t dataCentre : turn) {
            if (holders.size() < count && round < ranked[dataCentre].size()) {
                holders.push_back(candidates[dataCentre].indexes[ranked[dataCentre][round]]);
            }
        }
    }
    return holders;
}

} // namespace mustardrouter
