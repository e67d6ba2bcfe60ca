#include "mustardrouter/Routing/group_pump.h"

#include "mustardrouter/Admission/database_choice.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

std::optional<log_position> floorFor(group_engine &engine, const waiting_request &request, time_point now)
{
    const log_position barrier = engine.ownership.barrier.position;
    if (request.what.rule != read_rule::age) {
        // The barrier covers every write acknowledged in an earlier term.
        const bool current = request.floor.term == engine.ownership.term;
        return current ? std::max(request.floor.position, barrier) : barrier;
    }
    const std::optional<log_position> bound = positionBound(engine.history, now - request.what.maxAge);
    if (!bound) {
        return std::nullopt;
    }
    return *bound;
}

std::vector<read_candidate> readCandidates(const group_engine &engine)
{
    std::vector<read_candidate> candidates;
    for (std::size_t index = 0; index < engine.ownership.databases.size(); ++index) {
        const database_view &view = engine.ownership.databases[index];
        const connection_pool &pool = engine.pools.at(view.name);
        read_candidate candidate;
        candidate.index = index;
        candidate.primary = view.name == engine.ownership.primary;
        const bool follows = view.report.term == engine.ownership.term && (candidate.primary || view.report.inSync);
        candidate.usable = view.reachable && follows && !view.report.leaving;
        candidate.applied = view.report.applied.position;
        candidate.freeSlots = pool.limits.slots - std::min(pool.limits.slots, pool.running);
        candidate.running = pool.running;
        candidate.serviceMicros = pool.serviceMicros;
        candidates.push_back(candidate);
    }
    return candidates;
}

void openFor(engine_step &step, const database_name &database, std::size_t waiting)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(database);
    if (!shouldOpen(pool, waiting, step.now)) {
        return;
    }
    const connection_id id(engine.nextConnection++);
    addConnection(pool, id, step.now);
    engine.connectionHome.emplace(id, database);
    step.actions.emplace_back(open_connection{database, id, engine.ownership.term});
}

void startOn(engine_step &step, const database_name &database, connection_id connection, waiting_request request, const char *reason)
{
    run_statement action;
    action.connection = connection;
    action.request = request.id;
    action.term = step.engine.ownership.term;
    action.kind = request.what.kind;
    action.sql = request.what.sql;
    action.key = request.what.key;
    action.onReplica = database != step.engine.ownership.primary;
    action.reason = reason;
    step.actions.emplace_back(std::move(action));

    running_request running;
    running.connection = connection;
    running.database = database;
    running.startedAt = step.now;
    running.request = std::move(request);
    const request_id id = running.request.id;
    step.engine.running.insert_or_assign(id, std::move(running));
}

void pumpTransactions(engine_step &step)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(engine.ownership.primary);
    std::deque<waiting_request> &lane = laneOf(engine.queue, queue_lane::transaction);
    std::deque<waiting_request> still;
    while (!lane.empty()) {
        waiting_request request = std::move(lane.front());
        lane.pop_front();
        const auto found = engine.transactions.find(request.what.transaction);
        if (found == engine.transactions.end()) {
            answer(step, request, notRun(failure::transactionLost));
            continue;
        }
        open_transaction &transaction = found->second;
        if (transaction.busy || !hasFreeSlot(pool)) {
            still.push_back(std::move(request));
            continue;
        }
        transaction.busy = true;
        transaction.usedAt = step.now;
        resumeConnection(pool, transaction.connection, step.now);
        startOn(step, engine.ownership.primary, transaction.connection, std::move(request), "held by its transaction");
    }
    std::swap(lane, still);
}

void pumpPrimary(engine_step &step)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(engine.ownership.primary);
    std::deque<waiting_request> &lane = laneOf(engine.queue, queue_lane::primary);
    // A write may wait for the lock of an open transaction; a slot stays free for that to finish.
    const std::uint32_t reserved = engine.transactions.empty() ? 0 : 1;
    while (!lane.empty() && pool.running + reserved < pool.limits.slots) {
        const std::optional<connection_id> connection = takeConnection(pool, step.now);
        if (!connection) {
            openFor(step, engine.ownership.primary, lane.size());
            break;
        }
        waiting_request request = std::move(lane.front());
        lane.pop_front();
        startOn(step, engine.ownership.primary, *connection, std::move(request), "only the primary may serve it");
    }
}

bool startRead(engine_step &step, const read_candidate &chosen, waiting_request &request, std::size_t waiting)
{
    const database_name &database = step.engine.ownership.databases[chosen.index].name;
    const std::optional<connection_id> connection = takeConnection(step.engine.pools.at(database), step.now);
    if (!connection) {
        openFor(step, database, waiting);
        return false;
    }
    const char *reason = chosen.primary ? "no replica is fresh enough" : "fresh enough and answers first";
    startOn(step, database, *connection, std::move(request), reason);
    return true;
}

void pumpReads(engine_step &step)
{
    group_engine &engine = step.engine;
    std::deque<waiting_request> &lane = laneOf(engine.queue, queue_lane::replica);
    std::deque<waiting_request> still;
    std::vector<read_candidate> candidates = readCandidates(engine);
    while (!lane.empty()) {
        waiting_request request = std::move(lane.front());
        lane.pop_front();
        const std::optional<log_position> floor = floorFor(engine, request, step.now);
        constexpr log_position unreachable(UINT64_MAX);
        const std::optional<std::size_t> index = chooseForRead(candidates, floor.value_or(unreachable));
        if (!index) {
            still.push_back(std::move(request));
            continue;
        }
        read_candidate &chosen = candidates[*index];
        if (!startRead(step, chosen, request, lane.size() + still.size() + 1)) {
            // No connection is open yet: others may be tried for the next request.
            chosen.freeSlots = 0;
            still.push_back(std::move(request));
            continue;
        }
        --chosen.freeSlots;
        ++chosen.running;
    }
    std::swap(lane, still);
}

} // namespace

void pumpQueues(engine_step &step)
{
    pumpTransactions(step);
    pumpPrimary(step);
    pumpReads(step);
}

} // namespace mustardrouter
