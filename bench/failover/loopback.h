#pragma once

#include "mustardrouter/Load/deployment.h"

#include <cstddef>

namespace mustardrouter
{

/// Repeatedly fails primaries and owners in a testbed of real instances over loopback under constant writes, and prints
/// the gaps. Returns false if the testbed does not start or does not recover.
bool measureOverLoopback(const deployment &of, std::size_t failovers);

} // namespace mustardrouter
