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
    std::string partition;
    std::string token;
    /// False when the service's session policy decides the read rule.
    bool hasReadRule = false;
    /// Zero when the service's session policy decides it.
    duration timeout{};
    statement what;
};

/// A caller's connection has gone.
struct caller_disconnected {
    caller_id caller;
};

/// An owner answered.
struct owner_answered {
    request_id request;
    statement_result result;
    /// Who owns the group, when the answer says that its sender does not.
    std::optional<instance_name> owner;
};

/// The connection to a peer broke; what was sent to it may have run.
struct peer_disconnected {
    instance_name peer;
    /// The connection was never made, so nothing was sent.
    bool connectFailed = false;
};

/// A statement could not be sent to its peer at all.
struct forward_failed {
    request_id request;
};

/// Holders of a group's term ranges, the owner first.
struct holders_found {
    group_name group;
    std::vector<instance_name> holders;
};

/// Another configuration is in force.
struct configuration_adopted {
    std::shared_ptr<const configuration_snapshot> snapshot;
};

/// Time passed.
struct entry_ticked {
};

/// What happens to an entry.
using entry_event = std::variant<caller_request_arrived,
                                 caller_disconnected,
                                 owner_answered,
                                 peer_disconnected,
                                 forward_failed,
                                 holders_found,
                                 configuration_adopted,
                                 entry_ticked>;

} // namespace mustardrouter
