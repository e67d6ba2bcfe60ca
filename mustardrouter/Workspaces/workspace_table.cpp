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
    const auto holder = table.workspaceByDigest.find(digest);
    if (holder == table.workspaceByDigest.end() || holder->second != name) {
        return nullptr;
    }
    const auto found = table.workspaces.find(name);
    return found == table.workspaces.end() ? nullptr : &found->second;
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
        table.workspaceByDigest[digestOf(key)] = added.name;
    }
    return complete;
}

} // namespace mustardrouter
