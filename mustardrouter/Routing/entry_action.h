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

/// Connection of a caller within an entry.
using caller_id = strong_type<struct caller_id_tag, std::uint64_t>;

/// Sends a statement to the instance that is believed to own the group.
struct forward_statement {
    request_id request;
    instance_name to;
    group_name group;
    statement what;
};

/// Asks the platform who owns a group.
struct find_owner {
    group_name group;
};

/// Answers a caller; exactly one for each request.
struct answer_caller {
    caller_id caller;
    /// The caller's own number of the request.
    std::uint64_t callerRequest;
    statement_result result;
    /// Token that the caller presents next; empty when nothing changed.
    std::string token;
    /// For traces.
    service_name service;
    group_name group;
    instance_name owner;
    duration elapsed{};
    std::uint32_t attempts = 0;
};

/// Tells an owner that a request or a transaction has lost its caller.
struct abandon_at_owner {
    request_id request;
    instance_name to;
    group_name group;
    transaction_id transaction;
    session_name session;
};

/// What an entry asks its surroundings to do.
using entry_action = std::variant<forward_statement, find_owner, answer_caller, abandon_at_owner>;

/// Actions in the order in which they must be carried out.
using entry_actions = std::vector<entry_action>;

} // namespace mustardrouter
