#include "mustardrouter/Workspaces/holder_affinity.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace mustardrouter
{

namespace
{

/// One in each of three regions: a statement then crosses regions once at most, and the loss of one leaves others with connections.
constexpr std::size_t minPreferred = 3;

} // namespace

double shareOf(const workspace_table &table, const workspace_name &workspace)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end()) {
        return 0;
    }
    double sum = 0;
    bool anyLimit = false;
    for (const auto &[name, other] : table.workspaces) {
        anyLimit = anyLimit || other.limit.has_value();
        sum += other.limit ? other.limit->operationsPerSecond : 0;
    }
    if (!anyLimit) {
        return 1.0 / static_cast<double>(table.workspaces.size());
    }
    if (!found->second.limit) {
        return 1;
    }
    return sum > 0 ? found->second.limit->operationsPerSecond / sum : 0;
}

std::vector<std::size_t> preferredHolders(std::string_view group,
                                          const workspace_name &workspace,
                                          double share,
                                          const std::vector<affinity_candidate> &holders)
{
    const double proportional = std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(holders.size()));
    const std::size_t count = std::min(std::max(static_cast<std::size_t>(proportional), minPreferred), holders.size());
    std::vector<instance_name> names;
    names.reserve(holders.size());
    for (const affinity_candidate &holder : holders) {
        names.push_back(holder.name);
    }
    const std::string key = std::string(group) + ' ' + workspace.value();
    const std::vector<std::size_t> order = rankTopInstances(key, names, names.size());
    std::vector<std::size_t> preferred;
    std::set<std::string_view> regions;
    for (const std::size_t index : order) {
        if (preferred.size() < count && regions.insert(holders[index].region).second) {
            preferred.push_back(index);
        }
    }
    for (const std::size_t index : order) {
        if (preferred.size() < count && std::ranges::find(preferred, index) == preferred.end()) {
            preferred.push_back(index);
        }
    }
    return preferred;
}

} // namespace mustardrouter
