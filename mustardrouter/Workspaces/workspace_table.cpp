#include "mustardrouter/Workspaces/workspace_table.h"

namespace mustardrouter
{

const workspace *findWorkspace(const workspace_table &table, const api_key &key)
{
    const auto holder = table.workspaceByKey.find(key);
    if (holder == table.workspaceByKey.end()) {
        return nullptr;
    }
    const auto found = table.workspaces.find(holder->second);
    return found == table.workspaces.end() ? nullptr : &found->second;
}

const workspace *findWorkspace(const workspace_table &table, key_digest digest, const workspace_name &name)
{
    const auto found = table.workspaces.find(name);
    return found == table.workspaces.end() || !table.digests.contains({digest, name}) ? nullptr : &found->second;
}

bool addWorkspace(workspace_table &table, const workspace &added, const std::vector<api_key> &keys)
{
    if (added.name.value().empty() || !table.workspaces.try_emplace(added.name, added).second) {
        return false;
    }
    bool complete = true;
    for (const api_key &key : keys) {
        if (key.value().empty() || !table.workspaceByKey.try_emplace(key, added.name).second) {
            complete = false;
            continue;
        }
        table.digests.emplace(digestOf(key), added.name);
    }
    return complete;
}

std::optional<workspace_name> workspaceOf(const workspace_table &table, const api_key &key, bool isPublicRoute)
{
    if (!table.enabled) {
        return workspace_name();
    }
    if (const workspace *holder = findWorkspace(table, key)) {
        return holder->name;
    }
    return isPublicRoute ? std::optional(workspace_name()) : std::nullopt;
}

std::optional<workspace_name> workspaceOf(const workspace_table &table, const caller_identity &caller, bool isPublicRoute)
{
    if (!caller.workspace.value().empty()) {
        const bool agrees = table.enabled && findWorkspace(table, caller.key, caller.workspace) != nullptr;
        return agrees ? std::optional(caller.workspace) : std::nullopt;
    }
    if (!table.enabled) {
        return workspace_name();
    }
    const auto withDigest = table.digests.lower_bound({caller.key, workspace_name()});
    const bool isKnownHere = withDigest != table.digests.end() && withDigest->first == caller.key;
    return isPublicRoute && !isKnownHere ? std::optional(workspace_name()) : std::nullopt;
}

} // namespace mustardrouter
