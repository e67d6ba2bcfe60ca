#pragma once

#include "mustardrouter/Core/ids.h"

#include <string_view>
#include <vector>

namespace mustardrouter
{

/// Sorts instances by descending rendezvous weight for a key (Thaler and Ravishankar, "A Name-Based
/// Mapping Scheme for Rendezvous", 1996): when one is removed, only its keys move.
std::vector<instance_name> rankInstances(std::string_view key, std::vector<instance_name> instances);

/// The first `count` instances of that order, as indexes into `instances`.
std::vector<std::size_t> rankTopInstances(std::string_view key, const std::vector<instance_name> &instances, std::size_t count);

/// An instance with its share of the keys, relative to the others' shares. Its name must outlive the ranking.
struct weighted_instance {
    std::string_view name;
    double weight = 1;
};

/// Indexes of the first `count` instances by descending weighted rendezvous score for a key (Schindelhauer and Schomaker, "Weighted
/// Distributed Hash Tables", 2005): each comes first for a share of the keys that is proportional to its weight.
std::vector<std::size_t> rankTopByWeight(std::string_view key, const std::vector<weighted_instance> &instances, std::size_t count);

} // namespace mustardrouter
