#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Gives a connection up: its transaction is rolled back by the database, and the statement that
/// runs on it gets the outcome that this leaves.
void failConnection(engine_step &step, connection_id connection, failure cause);

/// Gives up every connection, transaction and unconfirmed result.
void failAllWork(engine_step &step, failure cause);

/// A database has opened a connection, or refused to.
void onOpened(engine_step &step, const connection_opened &event);

/// A connection broke.
void onClosed(engine_step &step, const connection_closed &event);

/// Puts a request that has not run back into its lane.
void requeue(engine_step &step, waiting_request request);

/// Outcome of a statement that was sent and whose answer will not come.
statement_result resultWithoutAnswer(const statement &what, failure cause);

} // namespace mustardrouter
