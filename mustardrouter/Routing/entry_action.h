#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Identifies a caller's connection within an entry.
using caller_id = strong_type<struct caller_id_tag, std::uint64_t>;

/// Sends a statement to the instance that is believed to own the group.
struct forward_statement {
    request_id request;
    instance_name to;
    group_name group;
    statement what;
};

/// Asks the platform for the owner of a group.
struct find_owner {
    group_name group;
};

/// Answers a caller; exactly one for each request.
struct answer_caller {
    caller_id caller;
    /// Request number chosen by the caller.
    std::uint64_t callerRequest;
    statement_result result;
    /// Session token for the caller's next request; empty if it is unchanged.
    std::string token;
    /// The fields below are for traces and metrics.
    service_name service;
    group_name group;
    instance_name owner;
    duration elapsed{};
    std::uint32_t attempts = 0;
};

/// Tells an owner that nobody waits for a request or a transaction any more.
struct abandon_at_owner {
    request_id request;
    instance_name to;
    group_name group;
    transaction_id transaction;
    session_name session;
};

/// Action that an entry requests from its instance.
using entry_action = std::variant<forward_statement, find_owner, answer_caller, abandon_at_owner>;

/// Actions in the order in which they must be executed.
using entry_actions = std::vector<entry_action>;

} // namespace mustardrouter
