#include "mustardrouter/Routing/group_dispatch.h"

#include "mustardrouter/Admission/database_choice.h"
#include "mustardrouter/Admission/waiting_time.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Number of reads without a free slot on a fresh replica that are passed over before dispatch stops.
constexpr std::size_t maxDeferredReads = 8;

std::optional<log_position> floorFor(group_engine &engine, const waiting_request &request, time_point now)
{
    const log_position barrier = engine.ownership.barrier.position;
    if (request.what.rule != read_rule::age) {
        // The barrier covers every write acknowledged in an earlier term.
        const bool current = request.floor.term == engine.ownership.term;
        return current ? std::max(request.floor.position, barrier) : barrier;
    }
    const std::optional<log_position> bound = positionUpperBound(engine.history, now - request.what.maxAge);
    if (!bound) {
        return std::nullopt;
    }
    return *bound;
}

bool acceptsWork(const group_engine &engine, const database_view &view)
{
    const bool primary = view.name == engine.ownership.primary;
    const bool follows = view.report.term == engine.ownership.term && (primary || view.report.inSync);
    return view.reachable && follows && !view.report.leaving;
}

std::vector<read_candidate> readCandidates(group_engine &engine)
{
    std::vector<read_candidate> candidates;
    candidates.reserve(engine.ownership.databases.size());
    for (std::size_t index = 0; index < engine.ownership.databases.size(); ++index) {
        const database_view &view = engine.ownership.databases[index];
        const connection_pool &pool = engine.pools.at(view.name);
        read_candidate candidate;
        candidate.index = index;
        candidate.primary = view.name == engine.ownership.primary;
        candidate.usable = acceptsWork(engine, view);
        candidate.applied = view.report.applied.position;
        candidate.freeSlots = pool.limits.slots - std::min(pool.limits.slots, pool.running);
        candidate.running = pool.running;
        candidate.serviceMicros = pool.serviceMicros;
        candidate.ejected = pool.admittedShare < 1 && pool.admittedCredit < 1;
        candidates.push_back(candidate);
    }
    return candidates;
}

bool anyReplicaHasSlot(const std::vector<read_candidate> &candidates)
{
    return std::ranges::any_of(candidates, [](const read_candidate &candidate) {
        return candidate.usable && !candidate.primary && candidate.freeSlots > 0;
    });
}

bool anyReplicaUsable(const std::vector<read_candidate> &candidates)
{
    return std::ranges::any_of(candidates, [](const read_candidate &candidate) {
        return candidate.usable && !candidate.primary;
    });
}

void openConnection(engine_step &step, const database_name &database)
{
    group_engine &engine = step.engine;
    const connection_id id(engine.nextConnection++);
    addConnection(engine.pools.at(database), id, step.now);
    engine.connectionDatabases.emplace(id, database);
    step.actions.emplace_back(open_connection{database, id, engine.ownership.term});
}

void openConnectionIfNeeded(engine_step &step, const database_name &database, std::size_t waiting)
{
    if (shouldOpen(step.engine.pools.at(database), waiting, step.now)) {
        openConnection(step, database);
    }
}

void startStatement(engine_step &step, const database_name &database, connection_id connection, waiting_request request, const char *reason)
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

/// Refuses a request that would finish after its deadline, so that it takes no slot from others.
bool answerIfTooLate(engine_step &step, const waiting_request &request, connection_pool &pool)
{
    const duration service(static_cast<duration::rep>(pool.serviceMicros));
    if (step.now + service <= request.what.deadline) {
        return false;
    }
    // Refusals bring no new measurement, so an estimate that is too high has to decay.
    constexpr double decay = 0.95;
    pool.serviceMicros *= decay;
    answer(step, request, notRun(failure::deadlineExceeded, "too late to start", defaultRetryAfter));
    return true;
}

void dispatchTransactions(engine_step &step)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(engine.ownership.primary);
    std::vector<waiting_request> deferred;
    while (std::optional<waiting_request> request = takeNext(engine.queue, queue_lane::transaction)) {
        const auto found = engine.transactions.find(request->what.transaction);
        if (found == engine.transactions.end()) {
            answer(step, *request, notRun(failure::transactionLost));
            continue;
        }
        open_transaction &transaction = found->second;
        if (transaction.busy || !hasFreeSlot(pool)) {
            deferred.push_back(std::move(*request));
            continue;
        }
        transaction.busy = true;
        transaction.lastUsedAt = step.now;
        resumeConnection(pool, transaction.connection, step.now);
        startStatement(step, engine.ownership.primary, transaction.connection, std::move(*request), "held by its transaction");
    }
    for (auto request = deferred.rbegin(); request != deferred.rend(); ++request) {
        pushFront(engine.queue, queue_lane::transaction, std::move(*request));
    }
}

/// A write may wait for a lock of an open transaction, so one slot stays free for the transaction to finish.
std::uint32_t slotsReservedForTransactions(const group_engine &engine)
{
    return engine.transactions.empty() ? 0 : 1;
}

/// A request and the connection to the primary on which it may start.
struct primary_start {
    waiting_request request;
    connection_id connection;
};

/// Takes the next request of a lane that the primary can start now, if more than `reservedSlots` slots are free.
std::optional<primary_start> takeForPrimary(engine_step &step, queue_lane lane, std::uint32_t reservedSlots)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(engine.ownership.primary);
    while (pool.running + reservedSlots < pool.limits.slots) {
        std::optional<waiting_request> request = takeNext(engine.queue, lane);
        if (!request) {
            return std::nullopt;
        }
        if (answerIfTooLate(step, *request, pool)) {
            continue;
        }
        const std::optional<connection_id> connection = acquireConnection(pool, step.now);
        if (!connection) {
            pushFront(engine.queue, lane, std::move(*request));
            openConnectionIfNeeded(step, engine.ownership.primary, waitingIn(engine.queue, lane));
            return std::nullopt;
        }
        return primary_start{std::move(*request), *connection};
    }
    return std::nullopt;
}

void dispatchPrimaryWork(engine_step &step)
{
    group_engine &engine = step.engine;
    const std::uint32_t reservedSlots = slotsReservedForTransactions(engine);
    while (std::optional<primary_start> next = takeForPrimary(step, queue_lane::primary, reservedSlots)) {
        recordStart(engine.queue.primary, next->request.what, step.now);
        startStatement(step, engine.ownership.primary, next->connection, std::move(next->request), "only the primary may serve it");
    }
}

server_capacity primaryCapacity(const group_engine &engine)
{
    const connection_pool &pool = engine.pools.at(engine.ownership.primary);
    return {pool.serviceMicros, pool.limits.slots, pool.running};
}

server_capacity replicaCapacity(const group_engine &engine)
{
    server_capacity capacity;
    double statementsPerMicro = 0;
    for (const database_view &view : engine.ownership.databases) {
        if (view.name == engine.ownership.primary || !acceptsWork(engine, view)) {
            continue;
        }
        const connection_pool &pool = engine.pools.at(view.name);
        capacity.slots += pool.limits.slots;
        capacity.running += pool.running;
        statementsPerMicro += pool.limits.slots / std::max(pool.serviceMicros, 1.0);
    }
    capacity.serviceMicros = statementsPerMicro > 0 ? static_cast<double>(capacity.slots) / statementsPerMicro : 0;
    return capacity;
}

duration soonestCatchUp(const group_engine &engine, const std::vector<read_candidate> &candidates, log_position floor, time_point now)
{
    duration soonest = duration::max();
    for (const read_candidate &candidate : candidates) {
        if (!candidate.usable || candidate.primary) {
            continue;
        }
        const database_name &name = engine.ownership.databases[candidate.index].name;
        soonest = std::min(soonest, expectedCatchUp(engine.catchUp, name, floor, now));
    }
    return soonest;
}

/// How much later than the primary a replica may be expected to answer a read. Grows with the primary's load, because
/// writes need its slots.
duration maxReplicaDelay(const group_engine &engine)
{
    const connection_pool &pool = engine.pools.at(engine.ownership.primary);
    const double used = static_cast<double>(pool.running) / pool.limits.slots;
    const auto extra = static_cast<double>((engine.settings.maxReplicaDelayBusy - engine.settings.maxReplicaDelay).count());
    return engine.settings.maxReplicaDelay + duration(static_cast<duration::rep>(used * extra));
}

void enqueueOnPrimary(engine_step &step, waiting_request request)
{
    if (!enqueue(step.engine.queue, queue_lane::primaryRead, request)) {
        answer(step, request, notRun(failure::overloaded, "the queue is full", defaultRetryAfter));
    }
}

/// Queues a read for which no replica is fresh enough: until a replica has caught up, if that is expected in time and
/// not much later than the primary's answer, and otherwise for the primary.
void placeReadWithoutFreshReplica(engine_step &step,
                                  const std::vector<read_candidate> &candidates,
                                  waiting_request request,
                                  std::optional<log_position> floor)
{
    group_engine &engine = step.engine;
    if (!floor || !anyReplicaUsable(candidates)) {
        enqueueOnPrimary(step, std::move(request));
        return;
    }
    const duration wait = soonestCatchUp(engine, candidates, *floor, step.now);
    const std::size_t ahead = waitingIn(engine.queue, queue_lane::primary) + waitingIn(engine.queue, queue_lane::primaryRead);
    const duration onPrimary = expectedCompletion(primaryCapacity(engine), ahead);
    const bool inTime = step.now + 2 * wait < request.what.deadline;
    if (!inTime || wait > onPrimary + maxReplicaDelay(engine)) {
        enqueueOnPrimary(step, std::move(request));
        return;
    }
    request.waitedForReplica = true;
    if (!enqueueForCatchUp(engine.queue, request, *floor, step.now + 2 * wait)) {
        answer(step, request, notRun(failure::overloaded, "too many reads wait for a replica", defaultRetryAfter));
    }
}

void countPlacement(group_engine &engine, const waiting_request &request)
{
    ++(request.waitedForReplica ? engine.reads.caughtUp : engine.reads.onReplica);
}

/// Starts a read on a replica; returns the request if no connection is free there.
std::optional<waiting_request> startRead(engine_step &step, read_candidate &chosen, waiting_request request)
{
    group_engine &engine = step.engine;
    const database_name &database = engine.ownership.databases[chosen.index].name;
    connection_pool &pool = engine.pools.at(database);
    if (answerIfTooLate(step, request, pool)) {
        return std::nullopt;
    }
    const std::optional<connection_id> connection = acquireConnection(pool, step.now);
    if (!connection) {
        openConnectionIfNeeded(step, database, waitingIn(engine.queue, queue_lane::replica) + 1);
        // Excludes this replica for the next request, until a connection is open.
        chosen.freeSlots = 0;
        return request;
    }
    countPlacement(engine, request);
    recordStart(engine.queue.replica, request.what, step.now);
    pool.admittedCredit -= pool.admittedCredit >= 1 ? 1 : 0;
    startStatement(step, database, *connection, std::move(request), "fresh enough and answers first");
    --chosen.freeSlots;
    ++chosen.running;
    return std::nullopt;
}

void addAdmittedCredits(group_engine &engine)
{
    for (auto &[name, pool] : engine.pools) {
        pool.admittedCredit = pool.admittedShare < 1 ? std::min(1.0, pool.admittedCredit + pool.admittedShare) : 0;
    }
}

void dispatchReads(engine_step &step, std::vector<read_candidate> &candidates)
{
    group_engine &engine = step.engine;
    std::vector<waiting_request> deferred;
    // Without a usable replica the reads still have to be moved to the primary.
    const bool usable = anyReplicaUsable(candidates);
    while (deferred.size() < maxDeferredReads && (!usable || anyReplicaHasSlot(candidates))) {
        std::optional<waiting_request> request = takeNext(engine.queue, queue_lane::replica);
        if (!request) {
            break;
        }
        addAdmittedCredits(engine);
        const std::optional<log_position> floor = floorFor(engine, *request, step.now);
        constexpr log_position unreachable(UINT64_MAX);
        const read_choice choice = chooseForRead(candidates, floor.value_or(unreachable));
        if (choice.action == read_choice::kind::noneFresh) {
            placeReadWithoutFreshReplica(step, candidates, std::move(*request), floor);
            continue;
        }
        if (choice.action == read_choice::kind::run) {
            request = startRead(step, candidates[choice.index], std::move(*request));
        }
        if (request) {
            deferred.push_back(std::move(*request));
        }
    }
    for (auto request = deferred.rbegin(); request != deferred.rend(); ++request) {
        pushFront(engine.queue, queue_lane::replica, std::move(*request));
    }
}

void dispatchPrimaryReads(engine_step &step)
{
    group_engine &engine = step.engine;
    const std::uint32_t slots = engine.pools.at(engine.ownership.primary).limits.slots;
    const std::uint32_t reservedSlots = std::max(slotsReservedForTransactions(engine), slotsReservedForWrites(slots));
    while (std::optional<primary_start> next = takeForPrimary(step, queue_lane::primaryRead, reservedSlots)) {
        ++engine.reads.onPrimary;
        startStatement(
            step, engine.ownership.primary, next->connection, std::move(next->request), "no replica is fresh enough soon enough");
    }
}

/// Moves reads on whose replica has caught up, and sends those to the primary whose catch-up deadline has passed.
void moveCatchUpReads(engine_step &step, const std::vector<read_candidate> &candidates)
{
    group_engine &engine = step.engine;
    log_position applied;
    for (const read_candidate &candidate : candidates) {
        if (candidate.usable && !candidate.primary) {
            applied = std::max(applied, candidate.applied);
        }
    }
    for (waiting_request &request : takeCaughtUp(engine.queue, applied)) {
        pushFront(engine.queue, queue_lane::replica, std::move(request));
    }
    for (waiting_request &request : takeTimedOutCatchUps(engine.queue, step.now)) {
        enqueueOnPrimary(step, std::move(request));
    }
}

void closeSurplusIdle(engine_step &step, const database_name &name, duration idleFor)
{
    group_engine &engine = step.engine;
    connection_pool &pool = engine.pools.at(name);
    while (const std::optional<connection_id> unused = findSurplusIdle(pool, idleFor, step.now)) {
        removeConnection(pool, *unused);
        engine.connectionDatabases.erase(*unused);
        step.actions.emplace_back(close_connection{*unused});
    }
}

double fastestReplicaMicros(const group_engine &engine)
{
    double fastest = 0;
    for (const database_view &view : engine.ownership.databases) {
        if (view.name == engine.ownership.primary || !acceptsWork(engine, view)) {
            continue;
        }
        const double micros = engine.pools.at(view.name).serviceMicros;
        fastest = fastest == 0 ? micros : std::min(fastest, micros);
    }
    return fastest;
}

} // namespace

queue_lane laneFor(const statement &what)
{
    if (what.transaction.value() != 0) {
        return queue_lane::transaction;
    }
    const bool replicaMayServe = what.kind == statement_kind::read && what.rule != read_rule::latest;
    return replicaMayServe ? queue_lane::replica : queue_lane::primary;
}

std::optional<statement_result> refusalIfLate(engine_step &step, const statement &what)
{
    group_engine &engine = step.engine;
    const queue_lane lane = laneFor(what);
    if (lane == queue_lane::transaction || !isServing(engine.ownership)) {
        return std::nullopt;
    }
    const bool onPrimary = lane == queue_lane::primary;
    const fair_queue &waiting = onPrimary ? engine.queue.primary : engine.queue.replica;
    const server_capacity capacity = onPrimary ? primaryCapacity(engine) : replicaCapacity(engine);
    const std::size_t ahead = requestsAhead(waiting, what.service, what.weight);
    const std::optional<duration> retryAfter =
        retryAfterIfLate(capacity, ahead, measuredWait(waiting, what.service, what.weight), what.deadline - step.now);
    if (!retryAfter) {
        return std::nullopt;
    }
    return notRun(failure::overloaded, "the expected wait exceeds the deadline", *retryAfter);
}

void recordReportedPosition(group_engine &engine, const database_view &view, time_point now)
{
    if (view.report.term != engine.ownership.term) {
        return;
    }
    if (view.name == engine.ownership.primary) {
        recordPrimaryPosition(engine.catchUp, view.report.received.position, now);
        return;
    }
    recordReplicaPosition(engine.catchUp, view.name, view.report.applied.position, now);
}

void maintainConnections(engine_step &step)
{
    group_engine &engine = step.engine;
    const double fastest = fastestReplicaMicros(engine);
    for (const database_view &view : engine.ownership.databases) {
        connection_pool &pool = engine.pools.at(view.name);
        if (!acceptsWork(engine, view)) {
            continue;
        }
        adjustAdmittedShare(pool, view.name == engine.ownership.primary ? pool.serviceMicros : fastest);
        if (shouldPreopen(pool, step.now)) {
            openConnection(step, view.name);
        }
        closeSurplusIdle(step, view.name, engine.settings.idleConnectionTimeout);
    }
}

bool shouldReplacePrimary(const group_engine &engine)
{
    const database_view *primary = findDatabase(engine.ownership, engine.ownership.primary);
    if (primary == nullptr || !primary->report.leaving) {
        return false;
    }
    return std::ranges::any_of(engine.ownership.databases, [&](const database_view &view) {
        return view.name != primary->name && acceptsWork(engine, view);
    });
}

std::optional<database_name> successorOfLeavingPrimary(const group_engine &engine, time_point now)
{
    const database_view *primary = findDatabase(engine.ownership, engine.ownership.primary);
    const database_view *best = nullptr;
    for (const database_view &view : engine.ownership.databases) {
        if (view.name == primary->name || !acceptsWork(engine, view)) {
            continue;
        }
        if (best == nullptr || best->report.received < view.report.received) {
            best = &view;
        }
    }
    const bool idle = engine.pools.at(primary->name).running == 0 && engine.transactions.empty() && engine.unconfirmed.empty();
    const bool ready = best != nullptr && idle && best->report.received == primary->report.received;
    const bool overdue = now - engine.primaryLeavingSince >= engine.settings.leavingDrainTimeout;
    if (best == nullptr || !(ready || overdue)) {
        return std::nullopt;
    }
    return best->name;
}

void dispatchQueues(engine_step &step)
{
    group_engine &engine = step.engine;
    dispatchTransactions(step);
    std::vector<read_candidate> candidates = readCandidates(engine);
    moveCatchUpReads(step, candidates);
    dispatchReads(step, candidates);
    if (shouldReplacePrimary(engine)) {
        return;
    }
    dispatchPrimaryWork(step);
    dispatchPrimaryReads(step);
}

} // namespace mustardrouter
