#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"
#include "mustardrouter/Ownership/ownership_event.h"

#include <variant>

namespace mustardrouter
{

/// A request arrived from an entry.
struct request_arrived {
    request_id request;
    statement what;
};

/// A database answered a statement.
struct statement_answered {
    connection_id connection;
    request_id request;
    statement_result result;
    /// Log entry that the statement appended or read up to.
    log_entry entry;
    /// Higher term because of which the database refused the statement; zero if it did not.
    term_number refusedByTerm;
};

/// A database opened a connection, or refused to.
struct connection_opened {
    connection_id connection;
    bool accepted;
    /// Highest term that the database knows.
    term_number term;
};

/// A connection broke or could not be established.
struct connection_closed {
    connection_id connection;
};

/// The entry no longer waits for the request: its caller or the entry itself has disconnected.
struct request_abandoned {
    request_id request;
};

/// Nobody holds the transaction any more, because its caller or entry has disconnected; it is to be rolled back.
struct transaction_abandoned {
    transaction_id transaction;
};

/// Event that the engine of a group handles.
using engine_event = std::variant<ownership_event,
                                  request_arrived,
                                  statement_answered,
                                  connection_opened,
                                  connection_closed,
                                  request_abandoned,
                                  transaction_abandoned>;

} // namespace mustardrouter
