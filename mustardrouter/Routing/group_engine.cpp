#include "mustardrouter/Routing/group_engine.h"

#include "mustardrouter/Routing/engine_confirmation.h"
#include "mustardrouter/Routing/engine_connections.h"
#include "mustardrouter/Routing/engine_transactions.h"
#include "mustardrouter/Routing/group_dispatch.h"

#include <algorithm>
#include <cassert>
#include <type_traits>

namespace mustardrouter
{

namespace
{

void refuseQueued(engine_step &step, failure cause)
{
    for (const waiting_request &request : takeAll(step.engine.queue)) {
        answer(step, request, notRun(cause));
    }
}

void startTerm(engine_step &step, const term_started &started)
{
    resetFloors(step.engine.sessions, started.barrier);
    step.engine.history.samples.clear();
    // Floors of earlier terms are covered by the barrier when a read is dispatched.
    moveReadsToReplicaLane(step.engine.queue);
    resetPositions(step.engine.catchUp);
    step.engine.primaryLeavingSince = time_point{};
}

void endTerm(engine_step &step, const term_ended &ended)
{
    failAllWork(step, failure::staleTerm);
    if (ended.ownershipLost) {
        refuseQueued(step, failure::notOwner);
        return;
    }
    // Statements of transactions cannot run in another term; all others wait for the new primary.
    for (const waiting_request &request : takeTransactions(step.engine.queue)) {
        answer(step, request, notRun(failure::transactionLost));
    }
}

} // namespace

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

void stepOwnership(engine_step &step, const ownership_event &event)
{
    ownership_actions decided;
    const std::uint64_t before = step.engine.ownership.round;
    mustardrouter::step(step.engine.ownership, event, step.now, decided);
    recordRoundStarts(step, before);
    applyOwnership(step, decided);
}

namespace
{

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
    const bool ownedBySession = found != step.engine.transactions.end() && found->second.session == what.session;
    if (!ownedBySession) {
        return notRun(failure::transactionLost, "no such transaction");
    }
    return std::nullopt;
}

log_entry sessionFloor(group_engine &engine, const statement &what)
{
    if (!what.floor) {
        return floorOf(engine.sessions, what.session);
    }
    // A caller with several requests in flight may present an older token than its latest.
    return std::max(*what.floor, knownFloorOf(engine.sessions, what.session).value_or(log_entry{}));
}

void onRequest(engine_step &step, const request_arrived &event)
{
    waiting_request request;
    request.id = event.request;
    request.what = event.what;
    request.arrivedAt = step.now;
    if (std::optional<statement_result> refusal = refuse(step, request.what)) {
        answer(step, request, std::move(*refusal));
        return;
    }
    if (request.what.rule == read_rule::session) {
        request.floor = sessionFloor(step.engine, request.what);
    }
    if (needsRound(step.engine, request.what)) {
        request.round = requestRound(step);
    }
    if (std::optional<statement_result> refusal = refusalIfLate(step, request.what)) {
        answer(step, request, std::move(*refusal));
        return;
    }
    const queue_lane lane = laneFor(request.what);
    if (!enqueue(step.engine.queue, lane, request)) {
        answer(step, request, notRun(failure::overloaded, "the queue is full", defaultRetryAfter));
    }
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
        if (waiting.executed.request.id == event.request) {
            waiting.executed.abandoned = true;
        }
    }
}

/// Answers the statements that run past their deadline. The statement keeps its connection and slot until the database
/// answers or the connection is closed as unresponsive. In a transaction the connection is closed, because the caller
/// is told that the transaction is rolled back.
void answerExpired(engine_step &step)
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
        answerRun(step, lost, resultWithoutAnswer(lost.request.what, failure::deadlineExceeded));
        running.abandoned = true;
    }
    for (const connection_id connection : transactions) {
        failConnection(step, connection, failure::deadlineExceeded);
    }
}

/// A statement on the primary may wait for a lock of an open transaction, without the connection being unresponsive.
bool mayWaitForLock(const group_engine &engine, const database_name &database)
{
    return database == engine.ownership.primary && !engine.transactions.empty();
}

void closeUnresponsiveConnections(engine_step &step)
{
    group_engine &engine = step.engine;
    std::vector<connection_id> unresponsive;
    for (const database_view &view : engine.ownership.databases) {
        const duration timeout =
            mayWaitForLock(engine, view.name) ? engine.settings.idleInTransactionTimeout : engine.settings.connectionResponseTimeout;
        const auto found = findUnresponsive(engine.pools.at(view.name), timeout, view.lastReportAt, step.now);
        unresponsive.insert(unresponsive.end(), found.begin(), found.end());
    }
    for (const connection_id connection : unresponsive) {
        failConnection(step, connection, failure::connectionLost);
    }
}

/// Requests another primary if the current one is leaving, once nothing runs there or the grace period is over.
void replaceLeavingPrimary(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!isServing(engine.ownership) || !shouldReplacePrimary(engine)) {
        return;
    }
    if (engine.primaryLeavingSince == time_point{}) {
        engine.primaryLeavingSince = step.now;
    }
    if (const std::optional<database_name> successor = successorOfLeavingPrimary(engine, step.now)) {
        stepOwnership(step, primary_change_requested{*successor});
    }
}

void onClockTick(engine_step &step)
{
    group_engine &engine = step.engine;
    for (const waiting_request &request : takeExpired(engine.queue, step.now)) {
        const failure cause = isServing(engine.ownership) ? failure::deadlineExceeded : failure::noQuorum;
        answer(step, request, notRun(cause, "waited until its deadline", defaultRetryAfter));
    }
    rollBackIdleTransactions(step);
    answerExpired(step);
    closeUnresponsiveConnections(step);
    if (isServing(engine.ownership)) {
        maintainConnections(step);
        replaceLeavingPrimary(step);
    }
}

/// Resigns once work in flight is finished, so that the next owner's fence interrupts none, or at the drain timeout.
void resignWhenIdle(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!engine.draining || engine.ownership.resigning) {
        return;
    }
    if (isIdle(engine) || step.now - engine.drainingSince >= engine.settings.drainTimeout) {
        stepOwnership(step, resignation_requested{});
    }
}

void onOwnershipEvent(engine_step &step, const ownership_event &event)
{
    if (std::holds_alternative<resignation_requested>(event)) {
        step.engine.draining = true;
        step.engine.drainingSince = step.now;
        resignWhenIdle(step);
        return;
    }
    stepOwnership(step, event);
    if (const auto *reported = std::get_if<database_reported>(&event)) {
        samplePrimaryPosition(step, *reported);
        if (const database_view *view = findDatabase(step.engine.ownership, reported->database)) {
            recordReportedPosition(step.engine, *view, step.now);
        }
    }
    if (std::holds_alternative<clock_ticked>(event)) {
        onClockTick(step);
        resignWhenIdle(step);
    }
}

} // namespace

group_engine::group_engine(group_ownership groupOwnership,
                           const std::map<database_name, pool_limits> &limits,
                           engine_settings engineSettings)
    : ownership(std::move(groupOwnership))
    , settings(engineSettings)
    , queue(engineSettings.classCapacity)
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
                rollBackTransaction(step, what.transaction);
            }
        },
        event);
    confirmResults(step);
    if (isServing(engine.ownership)) {
        dispatchQueues(step);
        startRequestedRound(step);
    }
}

void reconfigure(group_engine &engine, const std::map<database_name, pool_limits> &limits)
{
    for (auto &[name, pool] : engine.pools) {
        const auto changed = limits.find(name);
        if (changed != limits.end()) {
            pool.limits = changed->second;
        }
    }
}

std::optional<time_point> nextRoundDue(const group_engine &engine)
{
    if (!engine.roundRequested || !isServing(engine.ownership)) {
        return std::nullopt;
    }
    return engine.roundStartTimes.empty() ? time_point::min() : engine.roundStartTimes.back() + engine.settings.roundInterval;
}

bool isIdle(const group_engine &engine)
{
    return waitingCount(engine.queue) == 0 && engine.running.empty() && engine.unconfirmed.empty() && engine.transactions.empty();
}

} // namespace mustardrouter
