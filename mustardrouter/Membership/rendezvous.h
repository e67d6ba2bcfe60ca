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

} // namespace mustardrouter
