#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"
#include "mustardrouter/Ownership/ownership_action.h"

#include <variant>
#include <vector>

namespace mustardrouter
{

/// Opens a statement connection to a database in a term.
struct open_connection {
    database_name database;
    connection_id connection;
    term_number term;
};

/// Closes a connection; what ran on it is rolled back by the database.
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
    /// Time in the queue, at the database, and waiting for confirmation.
    duration queueTime{};
    duration runTime{};
    duration confirmationTime{};
};

/// What the engine of a group asks its surroundings to do.
using engine_action = std::variant<ownership_action, open_connection, close_connection, run_statement, answer_request>;

/// Actions in the order in which they must be carried out.
using engine_actions = std::vector<engine_action>;

} // namespace mustardrouter
