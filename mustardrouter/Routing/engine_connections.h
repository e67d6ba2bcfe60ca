#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Closes a connection. The database rolls back its transaction; the statement that runs on it is retried or answered
/// with the resulting outcome.
void failConnection(engine_step &step, connection_id connection, failure cause);

/// Closes every connection, and ends every transaction and unconfirmed result.
void failAllWork(engine_step &step, failure cause);

/// Handles a database's answer to opening a connection.
void onOpened(engine_step &step, const connection_opened &event);

/// Handles a broken connection.
void onClosed(engine_step &step, const connection_closed &event);

/// Returns a request that has not run to its lane, or refuses it after too many attempts.
void requeue(engine_step &step, waiting_request request);

/// Result of a statement that was sent and will not be answered.
statement_result resultWithoutAnswer(const statement &what, failure cause);

} // namespace mustardrouter
