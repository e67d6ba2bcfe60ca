#include "mustardrouter/Membership/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
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

} // namespace mustardrouter
