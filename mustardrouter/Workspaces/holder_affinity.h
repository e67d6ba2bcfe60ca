#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Workspaces/workspace_table.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// An instance that holds connections to a group.
struct affinity_candidate {
    instance_name name;
    std::string region;
};

/// Share of the workspace in the sum of all configured limits, from 0 to 1; 1 for one without a limit where others have one, and an
/// equal share where none has one. Callers without a workspace have a share of 0.
double shareOf(const workspace_table &table, const workspace_name &workspace);

/// The holders that serve a workspace, as indexes: its share of them, at least three, from different regions as far as there are some. The
/// same on all instances with the same holders and table. One that comes or goes changes at most one of them.
std::vector<std::size_t> preferredHolders(std::string_view group,
                                          const workspace_name &workspace,
                                          double share,
                                          const std::vector<affinity_candidate> &holders);

} // namespace mustardrouter
