#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Workspaces/caller_identity.h"
#include "mustardrouter/Workspaces/key_digest.h"
#include "mustardrouter/Workspaces/workspace.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// The workspaces and keys of one version of the configuration.
struct workspace_table {
    /// The configuration has workspaces. Without them every caller is served, and no limit applies.
    bool enabled = false;
    std::map<workspace_name, workspace> workspaces;
    std::unordered_map<api_key, workspace_name> workspaceByKey;
    /// The digest of each key, with its workspace. Keys of different workspaces may share a digest.
    std::set<std::pair<key_digest, workspace_name>> digests;
};

/// The workspace that holds the key, or nullptr.
const workspace *findWorkspace(const workspace_table &table, const api_key &key);
/// The named workspace, if it holds a key with this digest; nullptr otherwise. Another instance named the workspace by the key
/// itself, so a digest that two keys share can't lead to another workspace.
const workspace *findWorkspace(const workspace_table &table, key_digest digest, const workspace_name &name);
/// Adds a workspace. A key that another workspace holds already, or that is empty, is not added.
/// Returns false if one of its keys was not added, or the name is empty or taken; the latter adds nothing.
bool addWorkspace(workspace_table &table, const workspace &added, const std::vector<api_key> &keys);

/// The workspace in whose name a client with this key is served on a route; an empty name for one that is served without, nothing for
/// one that is refused.
std::optional<workspace_name> workspaceOf(const workspace_table &table, const api_key &key, bool isPublicRoute);
/// The same for a client of another instance, which has found it to be `caller`. Nothing if this table does not agree.
std::optional<workspace_name> workspaceOf(const workspace_table &table, const caller_identity &caller, bool isPublicRoute);

} // namespace mustardrouter
