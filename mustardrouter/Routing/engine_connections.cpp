#include "mustardrouter/Routing/engine_connections.h"

#include "mustardrouter/Routing/group_dispatch.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Reads may run twice, so a read outside of a transaction is retried when its connection breaks.
bool mayRunAgain(const running_request &lost)
{
    const statement &what = lost.request.what;
    const bool readOnly = what.kind == statement_kind::read || what.kind == statement_kind::lookup;
    return readOnly && what.transaction.value() == 0 && !lost.abandoned;
}

void failRunning(engine_step &step, running_request lost, failure cause)
{
    lost.answeredAt = step.now;
    if (mayRunAgain(lost)) {
        requeue(step, std::move(lost.request));
        return;
    }
    answerRun(step, lost, resultWithoutAnswer(lost.request.what, cause));
}

/// Removes a connection from its pool; false if it is unknown.
bool forgetConnection(engine_step &step, connection_id connection)
{
    group_engine &engine = step.engine;
    const auto home = engine.connectionDatabases.find(connection);
    if (home == engine.connectionDatabases.end()) {
        return false;
    }
    removeConnection(engine.pools.at(home->second), connection);
    engine.connectionDatabases.erase(home);
    return true;
}

void failWorkOn(engine_step &step, connection_id connection, failure cause)
{
    group_engine &engine = step.engine;
    std::erase_if(engine.transactions, [&](const auto &item) {
        return item.second.connection == connection;
    });
    const auto lost = std::ranges::find_if(engine.running, [&](const auto &item) {
        return item.second.connection == connection;
    });
    if (lost == engine.running.end()) {
        return;
    }
    running_request request = std::move(lost->second);
    engine.running.erase(lost);
    failRunning(step, std::move(request), cause);
}

} // namespace

statement_result resultWithoutAnswer(const statement &what, failure cause)
{
    if (what.kind == statement_kind::commit || (what.kind == statement_kind::write && what.transaction.value() == 0)) {
        return unknownOutcome(cause, "sent, but no answer came");
    }
    if (what.transaction.value() != 0) {
        return notRun(failure::transactionLost, "the transaction was rolled back");
    }
    if (what.kind == statement_kind::begin) {
        return notRun(failure::transactionLost, "the transaction did not begin");
    }
    return notRun(cause, "no answer came", defaultRetryAfter);
}

void requeue(engine_step &step, waiting_request request)
{
    ++request.attempts;
    if (request.attempts >= step.engine.settings.maxAttempts) {
        answer(step, request, notRun(failure::overloaded, "refused too often", defaultRetryAfter));
        return;
    }
    const queue_lane lane = laneFor(request.what);
    if (!enqueue(step.engine.queue, lane, request)) {
        answer(step, request, notRun(failure::overloaded, "the queue is full", defaultRetryAfter));
    }
}

void failConnection(engine_step &step, connection_id connection, failure cause)
{
    if (!forgetConnection(step, connection)) {
        return;
    }
    step.actions.emplace_back(close_connection{connection});
    failWorkOn(step, connection, cause);
}

void failAllWork(engine_step &step, failure cause)
{
    group_engine &engine = step.engine;
    engine.transactions.clear();
    auto running = std::move(engine.running);
    engine.running.clear();
    auto unconfirmed = std::move(engine.unconfirmed);
    engine.unconfirmed.clear();
    for (auto &[connection, home] : engine.connectionDatabases) {
        removeConnection(engine.pools.at(home), connection);
        step.actions.emplace_back(close_connection{connection});
    }
    engine.connectionDatabases.clear();
    for (auto &[id, lost] : running) {
        failRunning(step, std::move(lost), cause);
    }
    for (unconfirmed_result &waiting : unconfirmed) {
        if (mayRunAgain(waiting.executed)) {
            requeue(step, std::move(waiting.executed.request));
            continue;
        }
        answerRun(step, waiting.executed, resultWithoutAnswer(waiting.executed.request.what, cause));
    }
}

void onOpened(engine_step &step, const connection_opened &event)
{
    group_engine &engine = step.engine;
    const auto home = engine.connectionDatabases.find(event.connection);
    if (home == engine.connectionDatabases.end()) {
        return;
    }
    connection_pool &pool = engine.pools.at(home->second);
    if (event.accepted) {
        markOpened(pool, event.connection, step.now);
        return;
    }
    pool.openNotBefore = step.now + engine.settings.openBackoff;
    failConnection(step, event.connection, failure::connectionLost);
    if (event.term > engine.ownership.term) {
        stepOwnership(step, term_refused{event.term});
    }
}

void onClosed(engine_step &step, const connection_closed &event)
{
    group_engine &engine = step.engine;
    const auto home = engine.connectionDatabases.find(event.connection);
    if (home == engine.connectionDatabases.end()) {
        return;
    }
    connection_pool &pool = engine.pools.at(home->second);
    const pooled_connection *connection = findConnection(pool, event.connection);
    if (connection != nullptr && connection->state == connection_state::opening) {
        pool.openNotBefore = step.now + engine.settings.openBackoff;
    }
    forgetConnection(step, event.connection);
    failWorkOn(step, event.connection, failure::connectionLost);
}

} // namespace mustardrouter
