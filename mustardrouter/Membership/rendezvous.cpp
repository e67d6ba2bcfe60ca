#include "mustardrouter/Membership/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace mustardrouter
{

std::vector<instance_name> rankInstances(std::string_view key, std::vector<instance_name> instances)
{
    std::vector<instance_name> ranked;
    ranked.reserve(instances.size());
    for (const std::size_t index : rankTopInstances(key, instances, instances.size())) {
        ranked.push_back(std::move(instances[index]));
    }
    return ranked;
}

std::vector<std::size_t> rankTopInstances(std::string_view key, const std::vector<instance_name> &instances, std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> weighted;
    weighted.reserve(instances.size());
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const std::string &name = instances[index].value();
        weighted.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), index);
    }
    const auto ranksHigher = [&](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : instances[left.second] > instances[right.second];
    };
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), end, weighted.end(), ranksHigher);
    std::vector<std::size_t> first;
    first.reserve(count);
    for (auto item = weighted.begin(); item != end; ++item) {
        first.push_back(item->second);
    }
    return first;
}

std::vector<std::size_t> rankTopByWeight(std::string_view key, const std::vector<weighted_instance> &instances, std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<double, std::size_t>> scored;
    scored.reserve(instances.size());
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const std::string_view name = instances[index].name;
        // The upper 53 bits as a number strictly between 0 and 1.
        const std::uint64_t bits = XXH3_64bits_withSeed(name.data(), name.size(), seed) >> 11U;
        const double uniform = (static_cast<double>(bits) + 0.5) / static_cast<double>(1ULL << 53U);
        scored.emplace_back(-instances[index].weight / std::log(uniform), index);
    }
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), end, scored.end(), [&](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : instances[left.second].name > instances[right.second].name;
    });
    std::vector<std::size_t> order;
    order.reserve(static_cast<std::size_t>(end - scored.begin()));
    for (auto item = scored.begin(); item != end; ++item) {
        order.push_back(item->second);
    }
    return order;
}

} // namespace mustardrouter
