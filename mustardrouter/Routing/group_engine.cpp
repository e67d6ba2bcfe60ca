#include "mustardrouter/Routing/group_engine.h"

#include "mustardrouter/Routing/engine_step.h"
#include "mustardrouter/Routing/group_pump.h"

#include <algorithm>
#include <cassert>
#include <type_traits>

namespace mustardrouter
{

namespace
{

void answerRun(engine_step &step, const running_request &done, statement_result result)
{
    if (done.abandoned) {
        return;
    }
    answer_request action;
    action.request = done.request.id;
    action.result = std::move(result);
    action.result.database = done.database;
    action.queued = done.startedAt - done.request.arrived;
    action.ran = done.answeredAt - done.startedAt;
    action.confirming = step.now - done.answeredAt;
    step.actions.emplace_back(std::move(action));
}

bool changesData(statement_kind kind)
{
    return kind == statement_kind::write || kind == statement_kind::commit;
}

/// Reads that any owner might serve, even one that has been replaced unawares.
bool needsRound(const group_engine &engine, const statement &what)
{
    if (engine.ownership.settings.confirmReplicas == 0) {
        return false;
    }
    if (what.kind == statement_kind::lookup) {
        return true;
    }
    if (what.kind != statement_kind::read || what.transaction.value() != 0) {
        return false;
    }
    return what.rule == read_rule::latest || (what.rule == read_rule::session && !what.floor);
}

std::uint64_t nextRound(engine_step &step)
{
    step.engine.roundWanted = true;
    return step.engine.ownership.round + 1;
}

void closeConnection(engine_step &step, connection_id connection)
{
    const auto home = step.engine.connectionHome.find(connection);
    if (home == step.engine.connectionHome.end()) {
        return;
    }
    removeConnection(step.engine.pools.at(home->second), connection);
    step.engine.connectionHome.erase(home);
    step.actions.emplace_back(close_connection{connection});
}

statement_result lostAnswer(const running_request &lost, failure why)
{
    const bool harmless = !changesData(lost.request.what.kind);
    if (harmless && lost.request.what.transaction.value() != 0) {
        return notRun(failure::transactionLost, "the transaction was rolled back");
    }
    if (lost.request.what.kind == statement_kind::begin) {
        return notRun(failure::transactionLost, "the transaction did not begin");
    }
    return unknownOutcome(why, "sent, but no answer came");
}

void requeue(engine_step &step, waiting_request request)
{
    ++request.attempts;
    if (request.attempts >= step.engine.settings.maxAttempts) {
        answer(step, request, notRun(failure::overloaded, "refused too often", retryHint));
        return;
    }
    const queue_lane lane = laneFor(request.what);
    if (!enqueue(step.engine.queue, lane, request)) {
        answer(step, request, notRun(failure::overloaded, "the queue is full", retryHint));
    }
}

/// Reads may run twice, so an autocommit read whose connection broke is tried elsewhere.
bool mayRunAgain(const waiting_request &request)
{
    return request.what.kind == statement_kind::read && request.what.transaction.value() == 0;
}

void loseRunning(engine_step &step, running_request lost, failure why)
{
    lost.answeredAt = step.now;
    if (mayRunAgain(lost.request) && !lost.abandoned) {
        requeue(step, std::move(lost.request));
        return;
    }
    answerRun(step, lost, lostAnswer(lost, why));
}

void loseTransactionOn(engine_step &step, connection_id connection)
{
    std::erase_if(step.engine.transactions, [&](const auto &item) {
        return item.second.connection == connection;
    });
}

void endTransaction(engine_step &step, transaction_id transaction)
{
    const auto found = step.engine.transactions.find(transaction);
    if (found == step.engine.transactions.end()) {
        return;
    }
    const connection_id connection = found->second.connection;
    step.engine.transactions.erase(found);
    closeConnection(step, connection);
}

void dropEverything(engine_step &step, failure why)
{
    group_engine &engine = step.engine;
    engine.transactions.clear();
    auto running = std::move(engine.running);
    engine.running.clear();
    auto unconfirmed = std::move(engine.unconfirmed);
    engine.unconfirmed.clear();
    for (auto &[connection, home] : engine.connectionHome) {
        removeConnection(engine.pools.at(home), connection);
        step.actions.emplace_back(close_connection{connection});
    }
    engine.connectionHome.clear();
    for (auto &[id, lost] : running) {
        loseRunning(step, std::move(lost), why);
    }
    for (unconfirmed_result &waiting : unconfirmed) {
        if (mayRunAgain(waiting.done.request) && !waiting.done.abandoned) {
            requeue(step, std::move(waiting.done.request));
            continue;
        }
        answerRun(step, waiting.done, lostAnswer(waiting.done, why));
    }
}

void refuseWaiting(engine_step &step, failure why)
{
    for (const waiting_request &request : takeAll(step.engine.queue)) {
        answer(step, request, notRun(why));
    }
}

void startTerm(engine_step &step, const term_started &started)
{
    resetFloors(step.engine.sessions, started.barrier);
    step.engine.history.samples.clear();
    step.engine.nextTransaction = 1;
    // Floors of earlier terms are covered by the barrier when a read is placed.
    restartReads(step.engine.queue);
    restart(step.engine.catchUp);
    step.engine.primaryLeavingSince = time_point{};
}

void endTerm(engine_step &step, const term_ended &ended)
{
    dropEverything(step, failure::staleTerm);
    if (ended.ownershipLost) {
        refuseWaiting(step, failure::notOwner);
        return;
    }
    // Statements of transactions can never run again; the rest waits for the new primary.
    for (const waiting_request &request : takeTransactions(step.engine.queue)) {
        answer(step, request, notRun(failure::transactionLost));
    }
}

void applyOwnership(engine_step &step, ownership_actions &decided)
{
    for (ownership_action &action : decided) {
        if (const auto *started = std::get_if<term_started>(&action)) {
            startTerm(step, *started);
        }
        if (const auto *ended = std::get_if<term_ended>(&action)) {
            endTerm(step, *ended);
        }
        step.actions.emplace_back(std::move(action));
    }
}

void noteRound(engine_step &step, std::uint64_t before)
{
    group_engine &engine = step.engine;
    constexpr std::size_t maxRounds = 1024;
    for (std::uint64_t round = before; round < engine.ownership.round; ++round) {
        engine.roundAskedAt.push_back(step.now);
    }
    while (engine.roundAskedAt.size() > maxRounds) {
        engine.roundAskedAt.pop_front();
        ++engine.firstRound;
    }
}

void stepOwnership(engine_step &step, const ownership_event &event)
{
    ownership_actions decided;
    const std::uint64_t before = step.engine.ownership.round;
    mustardrouter::step(step.engine.ownership, event, step.now, decided);
    noteRound(step, before);
    applyOwnership(step, decided);
}

void samplePrimary(engine_step &step, const database_reported &event)
{
    group_engine &engine = step.engine;
    const bool counts = event.database == engine.ownership.primary && event.report.term == engine.ownership.term;
    if (!counts || event.report.round < engine.firstRound) {
        return;
    }
    const std::size_t index = event.report.round - engine.firstRound;
    if (index < engine.roundAskedAt.size()) {
        recordPosition(engine.history, engine.roundAskedAt[index], event.report.received.position);
    }
}

bool isConfirmed(const group_engine &engine, const unconfirmed_result &waiting)
{
    if (waiting.position > confirmedPosition(engine.ownership)) {
        return false;
    }
    return waiting.round == 0 || replicasPastRound(engine.ownership, waiting.round) >= engine.ownership.settings.confirmReplicas;
}

void finish(engine_step &step, unconfirmed_result &waiting)
{
    if (waiting.result.floor) {
        raiseSessionFloor(step.engine.sessions, waiting.done.request.what.session, *waiting.result.floor);
    }
    answerRun(step, waiting.done, std::move(waiting.result));
}

void confirmResults(engine_step &step)
{
    group_engine &engine = step.engine;
    std::vector<unconfirmed_result> still;
    for (unconfirmed_result &waiting : engine.unconfirmed) {
        if (isConfirmed(engine, waiting)) {
            finish(step, waiting);
            continue;
        }
        if (step.now >= waiting.done.request.what.deadline) {
            answerRun(step, waiting.done, unknownOutcome(failure::deadlineExceeded, "not confirmed in time"));
            continue;
        }
        still.push_back(std::move(waiting));
    }
    engine.unconfirmed = std::move(still);
}

void pumpRounds(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!engine.roundWanted) {
        return;
    }
    const bool due = engine.roundAskedAt.empty() || step.now - engine.roundAskedAt.back() >= engine.settings.roundInterval;
    if (!due) {
        return;
    }
    engine.roundWanted = false;
    ownership_actions decided;
    const std::uint64_t before = engine.ownership.round;
    startRound(engine.ownership, step.now, decided);
    noteRound(step, before);
    applyOwnership(step, decided);
}

std::optional<statement_result> refuse(engine_step &step, const statement &what)
{
    const group_ownership &ownership = step.engine.ownership;
    if (ownership.role != ownership_role::owner) {
        return notRun(failure::notOwner);
    }
    if (step.now >= what.deadline) {
        return notRun(failure::deadlineExceeded);
    }
    if (what.floor && what.floor->term > ownership.term) {
        return notRun(failure::notOwner, "the session has seen a higher term");
    }
    if (step.engine.draining && what.transaction.value() == 0) {
        return notRun(failure::notOwner, "the owner is handing the group over");
    }
    if (what.transaction.value() == 0) {
        return std::nullopt;
    }
    const auto found = step.engine.transactions.find(what.transaction);
    const bool mine = found != step.engine.transactions.end() && found->second.session == what.session;
    if (!mine) {
        return notRun(failure::transactionLost, "no such transaction");
    }
    return std::nullopt;
}

void onRequest(engine_step &step, const request_arrived &event)
{
    waiting_request request;
    request.id = event.request;
    request.what = event.what;
    request.arrived = step.now;
    if (std::optional<statement_result> refusal = refuse(step, request.what)) {
        answer(step, request, std::move(*refusal));
        return;
    }
    if (request.what.rule == read_rule::session) {
        request.floor = request.what.floor ? *request.what.floor : floorOf(step.engine.sessions, request.what.session);
    }
    if (needsRound(step.engine, request.what)) {
        request.round = nextRound(step);
    }
    if (std::optional<statement_result> refusal = refuseLate(step, request.what)) {
        answer(step, request, std::move(*refusal));
        return;
    }
    const queue_lane lane = laneFor(request.what);
    if (!enqueue(step.engine.queue, lane, request)) {
        answer(step, request, notRun(failure::overloaded, "the queue is full", retryHint));
    }
}

void settleTransaction(engine_step &step, running_request &done, statement_result &result)
{
    group_engine &engine = step.engine;
    const statement &what = done.request.what;
    if (what.kind == statement_kind::begin && result.kind == outcome::done) {
        constexpr unsigned termShift = 24;
        const transaction_id id((engine.ownership.term.value() << termShift) | engine.nextTransaction++);
        engine.transactions.emplace(id, open_transaction{done.connection, what.session, step.now, false});
        result.transaction = id;
        if (done.abandoned) {
            endTransaction(step, id);
        }
        return;
    }
    const auto found = engine.transactions.find(what.transaction);
    if (found == engine.transactions.end()) {
        return;
    }
    found->second.busy = false;
    found->second.usedAt = step.now;
    const bool over = what.kind == statement_kind::commit || what.kind == statement_kind::rollback;
    if (over) {
        unpinConnection(engine.pools.at(done.database), done.connection, step.now);
        engine.transactions.erase(found);
        return;
    }
    result.transaction = what.transaction;
}

bool staysPinned(const running_request &done, const statement_result &result)
{
    const statement &what = done.request.what;
    if (what.kind == statement_kind::begin) {
        return result.kind == outcome::done;
    }
    return what.transaction.value() != 0;
}

void onAnswer(engine_step &step, const statement_answered &event)
{
    group_engine &engine = step.engine;
    const auto found = engine.running.find(event.request);
    const bool expected = found != engine.running.end() && found->second.connection == event.connection;
    if (!expected) {
        return;
    }
    running_request done = std::move(found->second);
    engine.running.erase(found);
    done.answeredAt = step.now;
    statement_result result = event.result;
    releaseConnection(engine.pools.at(done.database), done.connection, staysPinned(done, result), step.now);
    settleTransaction(step, done, result);

    if (event.refusedByTerm > engine.ownership.term) {
        stepOwnership(step, term_refused{event.refusedByTerm});
    }
    const bool refused = result.kind == outcome::notRun && result.why == failure::staleTerm;
    if (refused && done.request.what.transaction.value() == 0 && !done.abandoned) {
        if (engine.ownership.role == ownership_role::owner) {
            requeue(step, std::move(done.request));
            return;
        }
        answer(step, done.request, notRun(failure::notOwner));
        return;
    }
    if (result.kind != outcome::done) {
        answerRun(step, done, std::move(result));
        return;
    }
    result.fromReplica = done.database != engine.ownership.primary;
    unconfirmed_result waiting;
    // A commit without changes appends nothing and has no entry to confirm.
    const bool appended = changesData(done.request.what.kind) && event.entry.position.value() != 0;
    // What the primary shows to a read can still be lost until it is confirmed.
    const bool seenOnPrimary = !changesData(done.request.what.kind) && done.request.what.transaction.value() == 0
                               && done.request.what.kind != statement_kind::begin && !result.fromReplica;
    if (appended || seenOnPrimary) {
        waiting.position = event.entry.position;
    }
    if (event.entry.position.value() != 0 && done.request.what.kind != statement_kind::begin) {
        result.floor = log_entry{engine.ownership.term, event.entry.position};
    }
    waiting.round = done.request.round;
    waiting.result = std::move(result);
    waiting.done = std::move(done);
    engine.unconfirmed.push_back(std::move(waiting));
}

void onOpened(engine_step &step, const connection_opened &event)
{
    group_engine &engine = step.engine;
    const auto home = engine.connectionHome.find(event.connection);
    if (home == engine.connectionHome.end()) {
        return;
    }
    connection_pool &pool = engine.pools.at(home->second);
    if (event.accepted) {
        markOpened(pool, event.connection, step.now);
        return;
    }
    pool.openAfter = step.now + engine.settings.openBackoff;
    closeConnection(step, event.connection);
    if (event.term > engine.ownership.term) {
        stepOwnership(step, term_refused{event.term});
    }
}

void onClosed(engine_step &step, const connection_closed &event)
{
    group_engine &engine = step.engine;
    const auto home = engine.connectionHome.find(event.connection);
    if (home == engine.connectionHome.end()) {
        return;
    }
    connection_pool &pool = engine.pools.at(home->second);
    const pooled_connection *connection = findConnection(pool, event.connection);
    if (connection != nullptr && connection->state == connection_state::opening) {
        pool.openAfter = step.now + engine.settings.openBackoff;
    }
    removeConnection(pool, event.connection);
    engine.connectionHome.erase(home);
    loseTransactionOn(step, event.connection);
    const auto lost = std::ranges::find_if(engine.running, [&](const auto &item) {
        return item.second.connection == event.connection;
    });
    if (lost == engine.running.end()) {
        return;
    }
    running_request request = std::move(lost->second);
    engine.running.erase(lost);
    loseRunning(step, std::move(request), failure::connectionLost);
}

void onAbandoned(engine_step &step, const request_abandoned &event)
{
    group_engine &engine = step.engine;
    const auto running = engine.running.find(event.request);
    if (running != engine.running.end()) {
        running->second.abandoned = true;
        return;
    }
    if (remove(engine.queue, event.request)) {
        return;
    }
    for (unconfirmed_result &waiting : engine.unconfirmed) {
        if (waiting.done.request.id == event.request) {
            waiting.done.abandoned = true;
        }
    }
}

void closeAndLose(engine_step &step, const std::vector<connection_id> &connections)
{
    for (const connection_id connection : connections) {
        step.actions.emplace_back(close_connection{connection});
        onClosed(step, connection_closed{connection});
    }
}

/// A statement that runs past its deadline keeps its connection, but its caller is told. Its
/// slot is counted until the database answers or the connection is given up as silent. Only a
/// transaction loses its connection, because its caller takes it for rolled back.
void answerOverdue(engine_step &step)
{
    std::vector<connection_id> transactions;
    for (auto &[id, running] : step.engine.running) {
        if (running.abandoned || step.now < running.request.what.deadline) {
            continue;
        }
        if (running.request.what.transaction.value() != 0) {
            transactions.push_back(running.connection);
            continue;
        }
        running_request lost = running;
        lost.answeredAt = step.now;
        answerRun(step, lost, lostAnswer(lost, failure::deadlineExceeded));
        running.abandoned = true;
    }
    closeAndLose(step, transactions);
}

/// A statement that waits for the lock of an open transaction is not silent.
bool mayWaitForLock(const group_engine &engine, const database_name &database)
{
    return database == engine.ownership.primary && !engine.transactions.empty();
}

void replaceSilent(engine_step &step)
{
    group_engine &engine = step.engine;
    std::vector<connection_id> silent;
    for (const database_view &view : engine.ownership.databases) {
        const duration patience = mayWaitForLock(engine, view.name) ? engine.settings.idleInTransaction : engine.settings.silentConnection;
        const auto found = findSilent(engine.pools.at(view.name), patience, view.heardAt, step.now);
        silent.insert(silent.end(), found.begin(), found.end());
    }
    closeAndLose(step, silent);
}

/// Moves the primary away from a database that leaves, once nothing runs there any more.
void leavePrimary(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!isServing(engine.ownership) || !primaryLeaves(engine)) {
        return;
    }
    if (engine.primaryLeavingSince == time_point{}) {
        engine.primaryLeavingSince = step.now;
    }
    if (const std::optional<database_name> successor = successorOfLeaving(engine, step.now)) {
        stepOwnership(step, primary_change_requested{*successor});
    }
}

void expire(engine_step &step)
{
    group_engine &engine = step.engine;
    for (const waiting_request &request : takeExpired(engine.queue, step.now)) {
        const failure why = isServing(engine.ownership) ? failure::deadlineExceeded : failure::noQuorum;
        answer(step, request, notRun(why, "waited until its deadline", retryHint));
    }
    std::vector<transaction_id> idle;
    for (const auto &[id, transaction] : engine.transactions) {
        if (!transaction.busy && step.now - transaction.usedAt >= engine.settings.idleInTransaction) {
            idle.push_back(id);
        }
    }
    for (const transaction_id id : idle) {
        endTransaction(step, id);
    }
    answerOverdue(step);
    replaceSilent(step);
    if (isServing(engine.ownership)) {
        tendConnections(step);
        leavePrimary(step);
    }
}

/// Work in flight is finished first, so that the next owner's fence cuts nothing off.
void resignWhenQuiet(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!engine.draining || engine.ownership.resigning) {
        return;
    }
    if (isQuiet(engine) || step.now - engine.drainingSince >= engine.settings.drainPatience) {
        stepOwnership(step, resignation_requested{});
    }
}

void onOwnershipEvent(engine_step &step, const ownership_event &event)
{
    if (std::holds_alternative<resignation_requested>(event)) {
        step.engine.draining = true;
        step.engine.drainingSince = step.now;
        resignWhenQuiet(step);
        return;
    }
    stepOwnership(step, event);
    if (const auto *reported = std::get_if<database_reported>(&event)) {
        samplePrimary(step, *reported);
        if (const database_view *view = findDatabase(step.engine.ownership, reported->database)) {
            noteProgress(step.engine, *view, step.now);
        }
    }
    if (std::holds_alternative<clock_ticked>(event)) {
        expire(step);
        resignWhenQuiet(step);
    }
}

} // namespace

group_engine::group_engine(group_ownership groupOwnership,
                           const std::map<database_name, pool_limits> &limits,
                           engine_settings engineSettings)
    : ownership(std::move(groupOwnership))
    , settings(engineSettings)
    , queue(engineSettings.laneCapacity)
    , sessions(engineSettings.sessionCapacity)
{
    for (const auto &[name, limit] : limits) {
        pools.emplace(name, connection_pool(limit));
    }
}

void step(group_engine &engine, const engine_event &event, time_point now, engine_actions &actions)
{
    engine_step step{engine, now, actions};
    std::visit(
        [&](const auto &what) {
            using event_type = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<event_type, ownership_event>) {
                onOwnershipEvent(step, what);
            } else if constexpr (std::is_same_v<event_type, request_arrived>) {
                onRequest(step, what);
            } else if constexpr (std::is_same_v<event_type, statement_answered>) {
                onAnswer(step, what);
            } else if constexpr (std::is_same_v<event_type, connection_opened>) {
                onOpened(step, what);
            } else if constexpr (std::is_same_v<event_type, connection_closed>) {
                onClosed(step, what);
            } else if constexpr (std::is_same_v<event_type, request_abandoned>) {
                onAbandoned(step, what);
            } else if constexpr (std::is_same_v<event_type, transaction_abandoned>) {
                endTransaction(step, what.transaction);
            }
        },
        event);
    confirmResults(step);
    if (isServing(engine.ownership)) {
        pumpQueues(step);
        pumpRounds(step);
    }
}

bool isQuiet(const group_engine &engine)
{
    return waitingCount(engine.queue) == 0 && engine.running.empty() && engine.unconfirmed.empty() && engine.transactions.empty();
}

} // namespace mustardrouter
