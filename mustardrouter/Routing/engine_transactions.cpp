#include "mustardrouter/Routing/engine_transactions.h"

#include "mustardrouter/Routing/engine_connections.h"

namespace mustardrouter
{

namespace
{

/// Numbers of one term; terms are unique among owners, so no two transactions of a group share one.
constexpr unsigned transactionBits = 32;

void beginTransaction(engine_step &step, const running_request &done, const log_entry &entry, statement_result &result)
{
    group_engine &engine = step.engine;
    const transaction_id id((engine.ownership.term.value() << transactionBits) | engine.nextTransaction++);
    open_transaction opened;
    opened.connection = done.connection;
    opened.session = done.request.what.session;
    opened.usedAt = step.now;
    opened.base = entry.position;
    opened.round = done.request.round;
    engine.transactions.emplace(id, std::move(opened));
    result.transaction = id;
    if (done.abandoned) {
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
        if (!transaction.busy && step.now - transaction.usedAt >= step.engine.settings.idleInTransactionTimeout) {
            idle.push_back(id);
        }
    }
    for (const transaction_id id : idle) {
        rollBackTransaction(step, id);
    }
}

confirmation_requirement updateTransaction(engine_step &step, const running_request &done, const log_entry &entry, statement_result &result)
{
    group_engine &engine = step.engine;
    const statement &what = done.request.what;
    connection_pool &pool = engine.pools.at(done.database);
    const bool begins = what.kind == statement_kind::begin && result.kind == outcome::done;
    releaseConnection(pool, done.connection, begins || what.transaction.value() != 0, step.now);
    if (begins) {
        beginTransaction(step, done, entry, result);
        return {};
    }
    const auto found = engine.transactions.find(what.transaction);
    if (found == engine.transactions.end()) {
        return {};
    }
    open_transaction &transaction = found->second;
    const confirmation_requirement base{transaction.base, transaction.round};
    transaction.busy = false;
    transaction.usedAt = step.now;
    const bool over = what.kind == statement_kind::commit || what.kind == statement_kind::rollback;
    if (!over) {
        result.transaction = what.transaction;
        return base;
    }
    if (result.kind != outcome::done) {
        // A database that refused to end the transaction may still hold it open on this connection.
        rollBackTransaction(step, what.transaction);
        return base;
    }
    unpinConnection(pool, done.connection, step.now);
    engine.transactions.erase(found);
    return base;
}

} // namespace mustardrouter
