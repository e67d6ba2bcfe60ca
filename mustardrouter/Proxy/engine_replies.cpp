#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <utility>

/// What follows from the replies of databases and holders to clients' statements.
namespace mustardrouter::proxying
{

namespace
{

/// Attempts after which a statement is refused.
constexpr std::uint32_t maxAttempts = 8;

std::string textOf(const std::optional<log_entry> &entry)
{
    return entry ? std::to_string(entry->term.value()) + "." + std::to_string(entry->position.value()) : std::string("-");
}

void reportLowered(proxy_engine &engine,
                   const client_session &session,
                   const group_name &group,
                   const database_name &from,
                   const std::optional<log_entry> &before,
                   const char *reason)
{
    const std::optional<log_entry> after = floorOf(session.ownCommits, group);
    if (after >= before) {
        return;
    }
    reportEvent(engine,
                "own_commits_lowered",
                {{"request", session.current->statement.id},
                 {"group", group.value()},
                 {"database", from.value()},
                 {"before", textOf(before)},
                 {"now", textOf(after)},
                 {"why", reason}});
}

/// Backoff before the next attempt after an overloaded database refused the statement. A read that another database may
/// serve is retried at once the first time.
duration overloadBackoffOf(const proxy_engine &engine, const running_statement &running)
{
    constexpr std::uint32_t maxDoublings = 2;
    if (!running.writes && !running.needsPrimaryCheck && running.overloadRefusals <= 1) {
        return {};
    }
    return engine.settings.overloadBackoff * (1 << std::min(running.overloadRefusals - 1, maxDoublings));
}

/// Whether the reply to a read is as fresh as its read rule demands.
bool isFreshEnough(const running_statement &running, const database_reply &reply)
{
    if (running.needsPrimaryCheck) {
        return running.primaryCheckedAfter && running.primaryCheckedBefore;
    }
    return !running.floor || (reply.position && *reply.position >= *running.floor);
}

/// Adds the duration of a read to the moving averages of the session's route and of the group.
void recordReadDuration(proxy_engine &engine, group_state &group, const client_session &session, duration elapsed)
{
    constexpr double weight = 0.05;
    const auto micros = static_cast<double>(elapsed.count());
    const auto smooth = [&](double &value) {
        value = value == 0 ? micros : value + weight * (micros - value);
    };
    smooth(engine.smoothedReadMicros[session.database]);
    smooth(group.smoothedReadMicros);
}

void readSucceeded(proxy_engine &engine,
                   group_state &group,
                   database_connection &connection,
                   client_session &session,
                   const database_reply &reply,
                   time_point now)
{
    running_statement &running = *session.current;
    if (!isFreshEnough(running, reply)) {
        running.excludedDatabases.push_back(connection.database);
        retry(engine, session, connection.database, running.needsPrimaryCheck ? "lead not proved" : "log of another term", {}, now);
        return;
    }
    if (database_state *database = databaseOf(engine, connection)) {
        // After admission the read may have waited here for a connection to the primary: that wait counts as load of the
        // primary, too.
        const bool waited = group.primary == connection.database && running.admittedAt != time_point{};
        const duration work = recordShortestRead(engine.shortestReads[session.database], now - running.sentAt, now);
        recordReadTime(*database, now - (waited ? running.admittedAt : running.sentAt), now, work);
        recordReadDuration(engine, group, session, now - running.sentAt);
    }
    (group.primary == connection.database ? engine.counters.primaryReads : engine.counters.replicaReads) += 1;
    if (running.needsPrimaryCheck) {
        releaseEarlierRun(engine, session, now);
        deliverVerified(
            engine, group, session, {.database = connection.database, .since = running.arrivedAt, .reply = toClient(reply)}, now);
        return;
    }
    replyToStatement(engine, session, toClient(reply), now);
}

void writeSucceeded(
    proxy_engine &engine, group_state &group, const database_name &by, client_session &session, const database_reply &reply, time_point now)
{
    recordPrimary(engine, group, by, reply.position, session.current->sentAt, now);
    deliverVerified(engine, group, session, {.database = by, .since = now, .reply = toClient(reply), .writes = true}, now);
}

void autocommitRefused(proxy_engine &engine,
                       group_state &group,
                       database_connection &connection,
                       client_session &session,
                       const database_reply &reply,
                       time_point now)
{
    running_statement &running = *session.current;
    database_state *database = databaseOf(engine, connection);
    switch (reply.code) {
    case reply_code::busy:
        if (database != nullptr) {
            recordOverload(*database, now);
            running.overloadRefusals += 1;
        }
        retry(engine, session, connection.database, "database full", overloadBackoffOf(engine, running), now);
        return;
    case reply_code::lagging:
        group.lagRefusedAt = now;
        if (database != nullptr && running.floor) {
            recordMissingEntry(*database, *running.floor, now);
        }
        reportEvent(engine,
                    "replica_lags",
                    {{"request", running.statement.id},
                     {"group", group.name.value()},
                     {"database", connection.database.value()},
                     {"floor", textOf(running.floor)},
                     {"own_commits", textOf(floorOf(session.ownCommits, group.name))},
                     {"position", textOf(reply.position)}});
        running.excludedDatabases.push_back(connection.database);
        retry(engine, session, connection.database, "replica lags", {}, now);
        return;
    case reply_code::readOnly:
        recordNotPrimary(engine, group, connection.database, now);
        retry(engine, session, connection.database, "not the primary", {}, now);
        return;
    case reply_code::unknownStatement:
        connection.valuesUncertain = true;
        retry(engine, session, connection.database, "prepared statement lost", {}, now);
        return;
    case reply_code::failed:
    case reply_code::timedOut:
        if (!running.writes) {
            running.excludedDatabases.push_back(connection.database);
            retry(engine, session, connection.database, "database failed the read", {}, now);
            return;
        }
        break;
    default:
        break;
    }
    replyToStatement(engine, session, toClient(reply), now);
}

void commitAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    const bool wrote = session.transaction->wrote;
    if (reply.code == reply_code::done) {
        connection.inTransaction = false;
        if (wrote && connection.toHolder) {
            recordOwnCommit(engine, session, group.name, connection.database, reply.position);
        } else if (wrote) {
            recordPrimary(engine, group, connection.database, reply.position, session.current->sentAt, now);
        }
        const database_name by = connection.database;
        const bool verifies = wrote && !connection.toHolder;
        endTransaction(engine, session, transaction_state::none, now);
        if (verifies) {
            session.current->writes = true;
            session.current->connection = database_connection_id{};
            deliverVerified(engine, group, session, {.database = by, .since = now, .reply = toClient(reply), .writes = true}, now);
            return;
        }
        replyToStatement(engine, session, toClient(reply), now);
        return;
    }
    if (reply.code == reply_code::readOnly) {
        recordNotPrimary(engine, group, connection.database, now);
    }
    const bool holderDiscarded = connection.toHolder && reply.code == reply_code::aborted;
    if (wrote && !impliesNotRun(reply.code) && !holderDiscarded) {
        inDoubt(engine, session, connection.database, "the commit failed", now);
        return;
    }
    refuseStatement(engine, session, reply.code == reply_code::readOnly ? reply.code : reply_code::aborted, "the commit was refused", now);
}

} // namespace

void recordOwnCommit(proxy_engine &engine,
                     client_session &session,
                     const group_name &group,
                     const database_name &from,
                     const std::optional<log_entry> &position)
{
    const std::optional<log_entry> before = floorOf(session.ownCommits, group);
    recordCommit(session.ownCommits, group, position);
    reportLowered(engine, session, group, from, before, "committed");
}

void recordOwnRead(proxy_engine &engine,
                   client_session &session,
                   const group_name &group,
                   const database_name &from,
                   const std::optional<log_entry> &position)
{
    const std::optional<log_entry> before = floorOf(session.ownCommits, group);
    if (recordVerifiedLog(session.ownCommits, group, position)) {
        reportLowered(engine, session, group, from, before, "rolled back");
    }
}

client_reply toClient(const database_reply &reply)
{
    client_reply result;
    result.code = reply.code;
    result.rows = reply.rows;
    result.signature = reply.signature;
    result.detail = reply.detail;
    result.position = reply.position;
    return result;
}

void retry(proxy_engine &engine, client_session &session, const database_name &from, const char *reason, duration pause, time_point now)
{
    running_statement &running = *session.current;
    engine.counters.retries += 1;
    reportEvent(engine,
                "statement_retried",
                {{"request", running.statement.id},
                 {"from", from.value()},
                 {"why", reason},
                 {"attempts", std::to_string(running.attempts)},
                 {"after_ms", toMillisText(now - running.arrivedAt)}});
    if (running.attempts >= maxAttempts) {
        refuseRun(engine, session, reply_code::busy, reason, now);
        return;
    }
    running.notBefore = now + pause;
    queueForConnection(engine, session, now);
    const group_state *group = groupOf(engine, session);
    if (pause > duration{} && group != nullptr) {
        scheduleTimer(engine, running.notBefore, timer_kind::dispatch, 0, group->name);
    }
}

void inDoubt(proxy_engine &engine, client_session &session, const database_name &from, const char *reason, time_point now)
{
    engine.counters.inDoubt += 1;
    reportInDoubt(engine, session, from, reason);
    if (session.transaction) {
        endTransaction(engine, session, transaction_state::none, now);
    }
    client_reply reply;
    reply.code = reply_code::inDoubt;
    reply.detail = reason;
    replyToStatement(engine, session, std::move(reply), now);
}

void finishAutocommit(proxy_engine &engine, database_connection &connection, client_session &session, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    running_statement &running = *session.current;
    const database_reply reply = std::move(*running.reply);
    running.reply.reset();
    running.connection = database_connection_id{};
    connection.session = session_id{};
    connection.state = database_connection_state::idle;
    connection.since = now;
    scheduleIdleCheck(engine, connection, now);
    engine.groupsToDispatch.insert(connection.group);
    if (connection.toHolder) {
        relayedStatementAnswered(engine, connection, session, reply, now);
    } else if (reply.state != transaction_state::none) {
        // It ran in a transaction that was to have ended, and is rolled back with it.
        recordLeftOpen(engine, connection, reply.code);
        retry(engine, session, connection.database, "ran in a transaction that was left open", engine.settings.overloadBackoff, now);
    } else if (reply.code != reply_code::done) {
        autocommitRefused(engine, group, connection, session, reply, now);
    } else if (running.writes) {
        writeSucceeded(engine, group, connection.database, session, reply, now);
    } else {
        readSucceeded(engine, group, connection, session, reply, now);
    }
}

void transactionBegun(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    client_transaction &transaction = *session.transaction;
    group_state &group = engine.groups.at(connection.group);
    const bool lacksFloor = !connection.toHolder && transaction.floor && (!reply.position || *reply.position < *transaction.floor);
    if (reply.code == reply_code::done && reply.state == transaction_state::open && !lacksFloor) {
        transaction.phase = transaction_phase::ready;
        if (!transaction.floor && !connection.toHolder) {
            recordPrimary(engine, group, connection.database, reply.position, connection.since, now);
        }
        if (session.current) {
            sendInTransaction(engine, session, now);
        }
        return;
    }
    if (reply.code == reply_code::readOnly) {
        recordNotPrimary(engine, group, connection.database, now);
    } else {
        group.lagRefusedAt = reply.code == reply_code::lagging ? now : group.lagRefusedAt;
        transaction.excludedDatabases.push_back(connection.database);
        if (connection.toHolder && reply.code == reply_code::unknownDatabase) {
            beginByPresentRoute(engine, connection, session, now);
        } else if (connection.toHolder) {
            delayBegin(engine, group, transaction, reply.code, now);
        }
    }
    connection.inTransaction = reply.state != transaction_state::none;
    const database_connection_id held = std::exchange(transaction.connection, database_connection_id{});
    transaction.phase = transaction_phase::waitingForConnection;
    releaseConnection(engine, held, now);
    queueForConnection(engine, session, now);
}

void transactionAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    running_statement &running = *session.current;
    if (reply.code == reply_code::busy && reply.state == transaction_state::open && !connection.toHolder) {
        engine.counters.retries += 1;
        running.overloadRefusals += 1;
        // It has not run.
        session.transaction->statements -= 1;
        if (database_state *database = databaseOf(engine, connection)) {
            recordOverload(*database, now);
        }
        running.notBefore = now + overloadBackoffOf(engine, running);
        scheduleTimer(engine, running.notBefore, timer_kind::connection, connection.id.value());
        return;
    }
    if (reply.code != reply_code::done && restartElsewhere(engine, connection, session, reply.code, now)) {
        return;
    }
    if (running.statement.verb == client_verb::commit) {
        commitAnswered(engine, connection, session, reply, now);
        return;
    }
    if (reply.code == reply_code::done) {
        session.transaction->wrote = session.transaction->wrote || running.writes;
        if (!session.transaction->floor && !connection.toHolder) {
            recordPrimary(engine, group, connection.database, reply.position, running.sentAt, now);
            if (!running.writes && !session.transaction->primaryVerified) {
                deliverVerified(engine,
                                group,
                                session,
                                {.database = connection.database, .since = session.transaction->beganAt, .reply = toClient(reply)},
                                now);
                return;
            }
        }
        replyToStatement(engine, session, toClient(reply), now);
        return;
    }
    if (reply.code == reply_code::readOnly) {
        recordNotPrimary(engine, group, connection.database, now);
    }
    const bool clientError = reply.code == reply_code::malformed || reply.code == reply_code::tooLarge;
    refuseStatement(
        engine, session, impliesNotRun(reply.code) || clientError ? reply.code : reply_code::aborted, "refused inside a transaction", now);
}

} // namespace mustardrouter::proxying
