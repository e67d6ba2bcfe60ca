#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Workspaces/key_digest.h"
#include "mustardrouter/Workspaces/workspace.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// The workspaces and keys of one version of the configuration.
struct workspace_table {
    /// The configuration has workspaces. Without them every caller is served, and no limit applies.
    bool enabled = false;
    std::map<workspace_name, workspace> workspaces;
    std::unordered_map<api_key, workspace_name> workspaceByKey;
    std::unordered_map<key_digest, workspace_name> workspaceByDigest;
};

/// The workspace that holds the key, or nullptr.
const workspace *findWorkspace(const workspace_table &table, const api_key &key);
/// The same by the digest that another instance sent, which must name the same workspace; nullptr if this table does not agree.
const workspace *findWorkspace(const workspace_table &table, key_digest digest, const workspace_name &name);
/// Adds a workspace. A key that another workspace holds already, or that is empty, is not added.
/// Returns false if one of its keys was not added, or the name is empty or taken; the latter adds nothing.
bool addWorkspace(workspace_table &table, const workspace &added, const std::vector<api_key> &keys);

} // namespace mustardrouter
