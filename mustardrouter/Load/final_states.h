#pragma once

#include "mustardrouter/Load/history.h"
#include "mustardrouter/Load/testbed.h"

#include <map>
#include <string>

namespace mustardrouter
{

/// Final state of every group, read from its current primary; empty for a group without one.
std::map<std::string, final_state> readFinalStates(testbed &bed);

} // namespace mustardrouter
