#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"
#include "mustardrouter/Routing/entry_action.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// A caller sent a statement.
struct caller_request_arrived {
    caller_id caller;
    std::uint64_t callerRequest;
    std::string callerName;
    /// Partition that selects the group.
    std::string partition;
    std::string token;
    /// False if the service's session policy decides the read rule.
    bool hasReadRule = false;
    /// Zero if the service's session policy decides it.
    duration timeout{};
    statement what;
};

/// A caller's connection was closed or broke.
struct caller_disconnected {
    caller_id caller;
};

/// An instance answered a forwarded statement.
struct owner_answered {
    request_id request;
    statement_result result;
    /// Owner of the group, if the answer names one because its sender is not the owner.
    std::optional<instance_name> owner;
};

/// The connection to a peer broke or could not be opened; statements that were sent on it may have run.
struct peer_disconnected {
    instance_name peer;
    /// The connection was never established, so nothing was sent.
    bool connectFailed = false;
};

/// A statement could not be sent to its peer.
struct forward_failed {
    request_id request;
};

/// Instances that hold term ranges of a group, the owner first.
struct holders_found {
    group_name group;
    std::vector<instance_name> holders;
};

/// The instance has adopted another configuration.
struct configuration_adopted {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// Periodic tick that drives timeouts.
struct entry_ticked {
};

/// Event that an entry handles.
using entry_event = std::variant<caller_request_arrived,
                                 caller_disconnected,
                                 owner_answered,
                                 peer_disconnected,
                                 forward_failed,
                                 holders_found,
                                 configuration_adopted,
                                 entry_ticked>;

} // namespace mustardrouter
