#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Rolls a transaction back by closing its connection.
void rollBackTransaction(engine_step &step, transaction_id transaction);

/// Rolls back the transactions whose idle timeout has passed.
void rollBackIdleTransactions(engine_step &step);

/// Position and round that must be confirmed before the result of a statement in a transaction is answered.
struct confirmation_requirement {
    log_position position;
    std::uint64_t round = 0;
};

/// Begins, continues or ends the transaction of an answered statement, and releases the statement's slot.
confirmation_requirement updateTransaction(engine_step &step, const running_request &run, const log_entry &entry, statement_result &result);

} // namespace mustardrouter
