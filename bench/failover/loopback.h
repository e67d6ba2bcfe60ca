#pragma once

#include "mustardrouter/Load/deployment.h"

#include <cstddef>

namespace mustardrouter
{

/// Repeats failures of primaries and owners on a testbed of real instances over loopback, writes all
/// the while, and prints the gaps; false when the testbed does not start or does not recover.
bool measureOverLoopback(const deployment &of, std::size_t failovers);

} // namespace mustardrouter
