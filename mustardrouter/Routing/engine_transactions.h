#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Rolls a transaction back by closing its connection.
void rollBackTransaction(engine_step &step, transaction_id transaction);

/// Rolls back the transactions that have been idle for too long.
void rollBackIdleTransactions(engine_step &step);

/// What the results of a statement must wait for because it ran in a transaction.
struct confirmation_requirement {
    log_position position;
    std::uint64_t round = 0;
};

/// Opens, continues or closes the transaction of an answered statement and gives its slot back.
confirmation_requirement updateTransaction(engine_step &step, const running_request &run, const log_entry &entry, statement_result &result);

} // namespace mustardrouter
