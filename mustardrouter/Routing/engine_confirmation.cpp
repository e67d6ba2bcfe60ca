#include "mustardrouter/Routing/engine_confirmation.h"

#include "mustardrouter/Routing/engine_connections.h"
#include "mustardrouter/Routing/engine_transactions.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

bool isConfirmed(const group_engine &engine, log_position confirmed, const unconfirmed_result &waiting)
{
    if (waiting.position > confirmed) {
        return false;
    }
    return waiting.round == 0 || isRoundConfirmed(engine.ownership, waiting.round);
}

void answerConfirmed(engine_step &step, unconfirmed_result &waiting)
{
    std::optional<log_entry> &floor = waiting.result.floor;
    if (floor) {
        const session_name &session = waiting.executed.request.what.session;
        raiseSessionFloor(step.engine.sessions, session, *floor);
        // If the caller presented no token or an old one, the new token covers the whole session again.
        floor = knownFloorOf(step.engine.sessions, session).value_or(*floor);
    }
    answerRun(step, waiting.executed, std::move(waiting.result));
}

void onConfirmationTimeout(engine_step &step, const unconfirmed_result &waiting)
{
    const statement &what = waiting.executed.request.what;
    answerRun(step, waiting.executed, resultWithoutAnswer(what, failure::deadlineExceeded));
    // The caller has been told that the transaction is rolled back, so it must not be committed later.
    rollBackTransaction(step, what.transaction);
}

/// When the latest round that enough databases have answered in this term was started. No other term had confirmed a
/// write by then.
time_point termConfirmedAt(const group_engine &engine)
{
    for (std::size_t back = engine.roundStartTimes.size(); back > 0; --back) {
        if (isRoundConfirmed(engine.ownership, engine.firstTrackedRound + back - 1)) {
            return engine.roundStartTimes[back - 1];
        }
    }
    return time_point::min();
}

/// Round that must confirm the term before a read with the rule age is answered; zero for none.
std::uint64_t roundForAge(engine_step &step, const running_request &run)
{
    const statement &what = run.request.what;
    const bool aged = what.kind == statement_kind::read && what.rule == read_rule::age && what.transaction.value() == 0;
    if (!aged || step.engine.ownership.settings.confirmReplicas == 0) {
        return 0;
    }
    // The primary of a replaced owner may still be reachable and report positions that no longer advance.
    const bool covered = termConfirmedAt(step.engine) >= run.startedAt - what.maxAge;
    return covered ? 0 : requestRound(step);
}

/// Position that enough replicas must hold before a result is answered.
log_position positionToConfirm(const group_engine &engine, const running_request &run, const statement_answered &event)
{
    const statement &what = run.request.what;
    if (changesData(what.kind)) {
        // A commit without changes appends no log entry, so its position is zero and needs no confirmation.
        return event.entry.position;
    }
    const bool reads = what.kind == statement_kind::read || what.kind == statement_kind::lookup;
    if (!reads) {
        return {};
    }
    // Data that a read returns can be lost until its position is confirmed. If the read ran on a replica, that replica
    // counts as one confirmation, which is enough unless the policy requires two.
    const bool onReplica = run.database != engine.ownership.primary;
    const bool confirmedByItself = onReplica && engine.ownership.settings.confirmReplicas <= 1;
    return confirmedByItself ? log_position{} : event.entry.position;
}

/// Whether the request's key has already run. The result is then done, and waits for confirmation like that of the
/// first run.
bool isRepeated(const running_request &run, const statement_result &result)
{
    const statement &what = run.request.what;
    const bool whole = what.kind == statement_kind::commit || (what.kind == statement_kind::write && what.transaction.value() == 0);
    return whole && result.kind == outcome::notRun && result.cause == failure::duplicateKey;
}

void awaitConfirmation(
    engine_step &step, running_request run, statement_result result, const statement_answered &event, confirmation_requirement required)
{
    group_engine &engine = step.engine;
    result.fromReplica = run.database != engine.ownership.primary;
    if (event.entry.position.value() != 0 && run.request.what.kind != statement_kind::begin) {
        result.floor = log_entry{engine.ownership.term, event.entry.position};
    }
    unconfirmed_result waiting;
    if (run.request.what.kind != statement_kind::begin && run.request.what.kind != statement_kind::rollback) {
        waiting.position = std::max(required.position, positionToConfirm(engine, run, event));
        waiting.round = std::max({run.request.round, required.round, roundForAge(step, run)});
    }
    waiting.result = std::move(result);
    waiting.executed = std::move(run);
    engine.unconfirmed.push_back(std::move(waiting));
}

/// Handles a statement that the database refused because of its term: it has not run and may be retried.
void onStaleTerm(engine_step &step, running_request run)
{
    const bool owner = step.engine.ownership.role == ownership_role::owner;
    if (run.abandoned) {
        return;
    }
    if (run.request.what.transaction.value() != 0) {
        answerRun(step, run, notRun(failure::transactionLost, "the transaction's term is over"));
        rollBackTransaction(step, run.request.what.transaction);
        return;
    }
    if (owner) {
        requeue(step, std::move(run.request));
        return;
    }
    answer(step, run.request, notRun(failure::notOwner));
}

} // namespace

std::uint64_t requestRound(engine_step &step)
{
    step.engine.roundRequested = true;
    return step.engine.ownership.round + 1;
}

bool needsRound(const group_engine &engine, const statement &what)
{
    if (engine.ownership.settings.confirmReplicas == 0) {
        return false;
    }
    if (what.kind == statement_kind::lookup || what.kind == statement_kind::begin) {
        return true;
    }
    if (what.kind != statement_kind::read || what.transaction.value() != 0) {
        return false;
    }
    return what.rule == read_rule::latest || (what.rule == read_rule::session && !what.floor);
}

void onAnswer(engine_step &step, const statement_answered &event)
{
    group_engine &engine = step.engine;
    const auto found = engine.running.find(event.request);
    const bool expected = found != engine.running.end() && found->second.connection == event.connection;
    if (!expected) {
        return;
    }
    running_request run = std::move(found->second);
    engine.running.erase(found);
    run.answeredAt = step.now;
    statement_result result = event.result;
    const confirmation_requirement required = updateTransaction(step, run, event.entry, result);

    if (event.refusedByTerm > engine.ownership.term) {
        stepOwnership(step, term_refused{event.refusedByTerm});
    }
    if (result.kind == outcome::notRun && result.cause == failure::staleTerm) {
        onStaleTerm(step, std::move(run));
        return;
    }
    stepOwnership(step, database_answered{run.database});
    if (isRepeated(run, result)) {
        if (event.entry.position.value() == 0) {
            answerRun(step, run, unknownOutcome(failure::duplicateKey, "the key has run; the database does not say where"));
            return;
        }
        result.kind = outcome::done;
        result.detail = "a request with this key has run already";
    }
    // "Key not found" needs confirmation too: a replaced owner must not answer that a key has not run.
    const bool missing = run.request.what.kind == statement_kind::lookup && result.cause == failure::keyNotFound;
    if (result.kind != outcome::done && !missing) {
        answerRun(step, run, std::move(result));
        return;
    }
    awaitConfirmation(step, std::move(run), std::move(result), event, required);
}

void confirmResults(engine_step &step)
{
    if (step.engine.unconfirmed.empty()) {
        return;
    }
    const log_position confirmed = confirmedPosition(step.engine.ownership);
    std::vector<unconfirmed_result> expired;
    std::erase_if(step.engine.unconfirmed, [&](unconfirmed_result &waiting) {
        if (isConfirmed(step.engine, confirmed, waiting)) {
            answerConfirmed(step, waiting);
            return true;
        }
        if (step.now >= waiting.executed.request.what.deadline) {
            expired.push_back(std::move(waiting));
            return true;
        }
        return false;
    });
    for (const unconfirmed_result &waiting : expired) {
        onConfirmationTimeout(step, waiting);
    }
}

void startRequestedRound(engine_step &step)
{
    group_engine &engine = step.engine;
    if (!engine.roundRequested) {
        return;
    }
    const bool due = engine.roundStartTimes.empty() || step.now - engine.roundStartTimes.back() >= engine.settings.roundInterval;
    if (!due) {
        return;
    }
    engine.roundRequested = false;
    ownership_actions decided;
    const std::uint64_t before = engine.ownership.round;
    startRound(engine.ownership, step.now, decided);
    recordRoundStarts(step, before);
    applyOwnership(step, decided);
}

void recordRoundStarts(engine_step &step, std::uint64_t before)
{
    group_engine &engine = step.engine;
    constexpr std::size_t maxTrackedRounds = 1024;
    for (std::uint64_t round = before; round < engine.ownership.round; ++round) {
        engine.roundStartTimes.push_back(step.now);
    }
    while (engine.roundStartTimes.size() > maxTrackedRounds) {
        engine.roundStartTimes.pop_front();
        ++engine.firstTrackedRound;
    }
}

void samplePrimaryPosition(engine_step &step, const database_reported &event)
{
    group_engine &engine = step.engine;
    const bool counts = event.database == engine.ownership.primary && event.report.term == engine.ownership.term;
    if (!counts || event.report.round < engine.firstTrackedRound) {
        return;
    }
    const std::size_t index = event.report.round - engine.firstTrackedRound;
    if (index < engine.roundStartTimes.size()) {
        recordPosition(engine.history, engine.roundStartTimes[index], event.report.received.position);
    }
}

} // namespace mustardrouter
