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
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, instance_name>> weighted;
    weighted.reserve(instances.size());
    for (instance_name &instance : instances) {
        const std::string &name = instance.value();
        weighted.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), std::move(instance));
    }
    std::ranges::sort(weighted, std::greater<>{});
    std::vector<instance_name> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, instance] : weighted) {
        ranked.push_back(std::move(instance));
    }
    return ranked;
}

} // namespace mustardrouter
