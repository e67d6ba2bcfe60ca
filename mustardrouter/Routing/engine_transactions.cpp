#include "mustardrouter/Routing/engine_transactions.h"

#include "mustardrouter/Routing/engine_connections.h"

namespace mustardrouter
{

namespace
{

/// Bits for the count within a term; the term is above them. Owners never share a term, so transaction numbers are
/// unique in a group.
constexpr unsigned transactionBits = 32;

void beginTransaction(engine_step &step, const running_request &run, const log_entry &entry, statement_result &result)
{
    group_engine &engine = step.engine;
    const transaction_id id((engine.ownership.term.value() << transactionBits) | engine.nextTransaction++);
    open_transaction opened;
    opened.connection = run.connection;
    opened.session = run.request.what.session;
    opened.lastUsedAt = step.now;
    opened.snapshotPosition = entry.position;
    opened.round = run.request.round;
    engine.transactions.emplace(id, std::move(opened));
    result.transaction = id;
    if (run.abandoned) {
        rollBackTransaction(step, id);
    }
}

} // namespace

void rollBackTransaction(engine_step &step, transaction_id transaction)
{
    const auto found = step.engine.transactions.find(transaction);
    if (found == step.engine.transactions.end()) {
        return;
    }
    failConnection(step, found->second.connection, failure::transactionLost);
}

void rollBackIdleTransactions(engine_step &step)
{
    std::vector<transaction_id> idle;
    for (const auto &[id, transaction] : step.engine.transactions) {
        if (!transaction.busy && step.now - transaction.lastUsedAt >= step.engine.settings.idleInTransactionTimeout) {
            idle.push_back(id);
        }
    }
    for (const transaction_id id : idle) {
        rollBackTransaction(step, id);
    }
}

confirmation_requirement updateTransaction(engine_step &step, const running_request &run, const log_entry &entry, statement_result &result)
{
    group_engine &engine = step.engine;
    const statement &what = run.request.what;
    connection_pool &pool = engine.pools.at(run.database);
    const bool begins = what.kind == statement_kind::begin && result.kind == outcome::done;
    releaseConnection(pool, run.connection, begins || what.transaction.value() != 0, step.now);
    if (begins) {
        beginTransaction(step, run, entry, result);
        return {};
    }
    const auto found = engine.transactions.find(what.transaction);
    if (found == engine.transactions.end()) {
        return {};
    }
    open_transaction &transaction = found->second;
    const confirmation_requirement required{transaction.snapshotPosition, transaction.round};
    transaction.busy = false;
    transaction.lastUsedAt = step.now;
    const bool over = what.kind == statement_kind::commit || what.kind == statement_kind::rollback;
    if (!over) {
        result.transaction = what.transaction;
        return required;
    }
    if (result.kind != outcome::done) {
        // A database that refused to end the transaction may still hold it open on this connection.
        rollBackTransaction(step, what.transaction);
        return required;
    }
    unpinConnection(pool, run.connection, step.now);
    engine.transactions.erase(found);
    return required;
}

} // namespace mustardrouter
