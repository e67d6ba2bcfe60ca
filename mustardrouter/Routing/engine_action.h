#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"
#include "mustardrouter/Ownership/ownership_action.h"

#include <variant>
#include <vector>

namespace mustardrouter
{

/// Opens a connection for statements to a database, in a term.
struct open_connection {
    database_name database;
    connection_id connection;
    term_number term;
};

/// Closes a connection. The database rolls back the transaction that is open on it.
struct close_connection {
    connection_id connection;
};

/// Runs one statement on a connection.
struct run_statement {
    connection_id connection;
    request_id request;
    term_number term;
    statement_kind kind;
    std::string sql;
    request_key key;
    bool onReplica;
    /// Why this database was chosen, for the trace.
    const char *reason;
};

/// Answers a request; exactly one for each.
struct answer_request {
    request_id request;
    statement_result result;
    /// Time spent in the queue, at the database, and waiting for confirmation.
    duration queueTime{};
    duration runTime{};
    duration confirmationTime{};
};

/// Action that the engine of a group requests from the instance.
using engine_action = std::variant<ownership_action, open_connection, close_connection, run_statement, answer_request>;

/// Actions in the order in which they must be executed.
using engine_actions = std::vector<engine_action>;

} // namespace mustardrouter
