#pragma once

#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/client_reply.h"
#include "mustardrouter/Proxy/database_command.h"
#include "mustardrouter/Proxy/failover_state.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/relayed_route.h"
#include "mustardrouter/Workspaces/caller_identity.h"
#include "mustardrouter/Workspaces/limit_action.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Accepts a client's session.
struct accept_session {
    session_id session;
};

/// Refuses or closes a session; with a code other than done, the client receives it first.
struct close_session {
    session_id session;
    reply_code code = reply_code::done;
    std::string detail;
};

/// Replies to a client's statement.
struct reply_to_client {
    session_id session;
    client_reply reply;
};

/// Opens a connection to a database and verifies that the named database answers.
struct open_database_connection {
    database_connection_id connection;
    database_name database;
    group_name group;
    std::string address;
    /// The address is that of an instance that holds connections to the group.
    bool toHolder = false;
    /// The workspace that it belongs to; empty for none.
    workspace_name workspace{};
};

/// Sends commands to a database in one packet.
struct send_commands {
    database_connection_id connection;
    std::vector<database_command> commands;
    /// Only to a holder: the database name that the client requested, and the time left for the statement.
    std::string route;
    duration timeLeft{};
    caller_identity caller{};
    /// Only to a holder, where a statement or transaction starts.
    std::optional<relayed_route> served{};
};

/// Closes a connection; the database rolls back an open transaction.
struct close_database_connection {
    database_connection_id connection;
};

/// Closes the link to a holder that doesn't reply, so that the next connection to it uses a new one.
struct drop_holder_link {
    std::string address;
};

/// Reads the latest claim to the right to order promotions for a group in the store's present era.
struct read_claim {
    group_name group;
};

/// Reads the latest claim for a group, as evidence that no promotion has been ordered.
struct verify_claim {
    group_name group;
};

/// Claims the right to order promotions, if the claim that was read is still the latest.
struct write_claim {
    group_name group;
    /// Position of the claim that was read; revision 0 for none.
    store_position expected;
    /// Highest term that this claimant or one before has seen.
    term_number term;
    database_name successor;
    /// Successors of earlier claims whose promotions were not seen.
    std::vector<database_name> unsettledSuccessors;
};

/// Orders the platform to promote a database to primary.
struct order_promotion {
    group_name group;
    database_name successor;
    fence_number fence;
};

/// Records the time from the cause of a promotion to the first write that the new primary served, for the metrics.
struct record_first_write {
    failover_cause cause = failover_cause::none;
    duration after{};
};

/// Writes a decision or a change of state to the log.
struct report_event {
    const char *event;
    std::vector<std::pair<const char *, std::string>> fields;
};

/// What the engine requests of its caller.
using proxy_action = std::variant<accept_session,
                                  close_session,
                                  reply_to_client,
                                  open_database_connection,
                                  send_commands,
                                  close_database_connection,
                                  drop_holder_link,
                                  read_claim,
                                  verify_claim,
                                  write_claim,
                                  order_promotion,
                                  record_first_write,
                                  send_limit_message,
                                  report_event>;

} // namespace mustardrouter
