#pragma once

#include "mustardrouter/Workspaces/limit_message.h"

#include <variant>

namespace mustardrouter
{

/// Sends a message to the instance of this name.
struct send_limit_message {
    instance_name to;
    limit_message message;
};

/// Statements of the workspace that wait for tokens are to be tried again.
struct resume_workspace {
    workspace_name workspace;
};

/// Statements of the workspace are refused from now on, or none was for a while.
struct report_limit {
    workspace_name workspace;
    bool reached = false;
    /// Refused since the limit was reached.
    std::uint64_t refused = 0;
};

/// The share that this instance owns, or the loans that it holds as a pool, have changed so much that the log should tell.
struct report_limit_shares {
    /// Members among whom the limits are shared; 0 while this instance owns nothing.
    std::uint32_t members = 0;
    /// Slots of which this instance is the pool.
    std::uint32_t poolSlots = 0;
};

/// What the limits request of their caller.
using limit_action = std::variant<send_limit_message, resume_workspace, report_limit, report_limit_shares>;

} // namespace mustardrouter
