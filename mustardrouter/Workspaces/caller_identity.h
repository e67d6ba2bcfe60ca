#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Workspaces/key_digest.h"

namespace mustardrouter
{

/// Whose statements these are, as one instance tells another. The workspace is empty if the key is in none.
struct caller_identity {
    workspace_name workspace;
    key_digest key;

    bool operator==(const caller_identity &) const = default;
};

} // namespace mustardrouter
