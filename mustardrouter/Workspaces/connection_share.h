#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace mustardrouter
{

/// A connection belongs to one workspace for its life, and an instance has fewer connections to a database than there are workspaces.
/// These decisions share them. A new connection takes 12 to 27 ms of a slot and up to three crossings between regions: worth it for a
/// workspace that has none, not for one that could use its own a moment later.

/// One connection of this instance to a database.
struct shared_connection {
    workspace_name workspace;
    bool opening = false;
    /// It can be used now.
    bool idle = false;
    /// Since when it has been idle.
    time_point since{};
};

/// A workspace waits for its first connection to a database.
struct connection_claim {
    workspace_name workspace;
    time_point since{};
    time_point renewedAt{};
};

/// What is known of the connections to one database when a statement of `workspace` is to be sent.
struct share_request {
    workspace_name workspace;
    std::vector<shared_connection> connections;
    /// One more connection may be opened without closing another.
    bool mayOpen = false;
    /// Workspaces with statements that wait.
    const std::set<workspace_name> *waiting = nullptr;
    /// Unordered.
    const std::vector<connection_claim> *claims = nullptr;
    time_point now{};
};

enum class share_step : std::uint8_t {
    /// The workspace has an idle connection to use.
    use,
    open,
    /// Closes the idle connection at `index` and opens one for `workspace`.
    replace,
    wait,
};

struct share_decision {
    share_step step = share_step::wait;
    /// Into the connections of the request.
    std::size_t index = 0;
    /// Whose connection is to be opened: that of the request, or one that has claimed a connection for too long.
    workspace_name workspace;
    /// When to decide again at the latest; the epoch if only a change can help.
    time_point retryAt{};
};

/// Decides. A workspace without a connection gets the least recently used idle one of another. Where all are in use, it claims one,
/// and after `claimDueAfter` a workspace gives up the next of its connections that becomes idle, however many statements of its own wait.
share_decision decideShare(const share_request &request);

/// Records or renews the claim of a workspace that has to wait without any connection.
void claimConnection(std::vector<connection_claim> &claims, const workspace_name &workspace, time_point now);
/// Removes the claim of a workspace whose connection is being opened, and those that were not renewed.
void settleClaim(std::vector<connection_claim> &claims, const workspace_name &workspace, time_point now);

} // namespace mustardrouter
