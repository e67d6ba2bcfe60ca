#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Workspaces/workspace_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// What an instance did for one workspace since its start.
struct workspace_usage {
    /// Operations that it sent to databases itself; those that it relayed are counted by the holder.
    std::uint64_t operations = 0;
    /// Operations refused to its own clients by reason; reasons are string literals of the program, so their number is bounded.
    std::map<std::string_view, std::uint64_t> refusalsByReason;
    /// Operations, each of which loses weight with time, as of the last one.
    double recentOperations = 0;
    time_point recentAt{};
};

/// Usage of all workspaces.
struct workspace_usage_table {
    std::map<workspace_name, workspace_usage> byName;
    /// Sum of those that are no longer configured.
    workspace_usage former;
};

/// An operation of the workspace was sent to a database. Callers without a workspace are not counted.
void countOperation(workspace_usage_table &usage, const workspace_name &name, time_point now);
/// An operation of the workspace was refused; `reason` must be a string literal.
void countRefusal(workspace_usage_table &usage, const workspace_name &name, std::string_view reason);
/// Adds up what workspaces did that a new configuration doesn't have, so that the table stays bounded.
void forgetRemovedWorkspaces(workspace_usage_table &usage, const workspace_table &configured);

/// Figures of one workspace, or of several, for metrics.
struct workspace_figures {
    /// The name, or "all others", which no workspace can be called because it is two words.
    std::string label;
    std::uint64_t operations = 0;
    std::map<std::string_view, std::uint64_t> refusalsByReason;
    /// Configured operations per second over all instances; 0 for no limit.
    double limit = 0;
    /// Part of the limit that this instance used in about the last 5 s; 0 without a limit.
    double shareInUse = 0;
};

/// Most labels that `figuresOf` returns.
constexpr std::size_t maxWorkspaceLabels = 11;

/// The ten workspaces with the most operations and refusals, the most first, and all others summed; nothing without workspaces.
std::vector<workspace_figures> figuresOf(const workspace_usage_table &usage, const workspace_table &configured, time_point now);

} // namespace mustardrouter
