#include "mustardrouter/Proxy/engine_limits.h"
#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace proxying;

/// Time after which a session start is answered even without a configuration. Clients time out shortly afterwards.
constexpr duration sessionStartTimeout = std::chrono::milliseconds(1500);
/// Retry-after value for a statement that got no connection in time.
constexpr duration overloadRetryAfter = std::chrono::milliseconds(100);
/// Retry-after value for a group without a primary: a promotion takes about this long.
constexpr duration failoverRetryAfter = std::chrono::milliseconds(1000);

client_reply localReply(const client_session &session, reply_code code = reply_code::done, std::string detail = {})
{
    client_reply reply;
    reply.code = code;
    reply.detail = std::move(detail);
    reply.state = session.state;
    return reply;
}

void sendReply(proxy_engine &engine, client_session &session, client_reply reply)
{
    engine.actions.emplace_back(reply_to_client{session.id, std::move(reply)});
}

void acceptOrRefuseSession(proxy_engine &engine, client_session &session, time_point now)
{
    if (!engine.configurationReceived && now - session.startedAt < sessionStartTimeout) {
        scheduleTimer(engine, session.startedAt + sessionStartTimeout, timer_kind::session, session.id.value());
        return;
    }
    if (configuredRouteOf(engine, session) == nullptr) {
        const reply_code code = engine.configurationReceived ? reply_code::unknownDatabase : reply_code::busy;
        const char *detail = engine.configurationReceived ? "no route has this name" : "no configuration yet";
        engine.actions.emplace_back(close_session{session.id, code, detail});
        engine.sessions.erase(session.id);
        return;
    }
    if (!identify(engine, session)) {
        reportUnknownKey(engine, session, now);
        engine.actions.emplace_back(close_session{session.id, reply_code::unauthorized, "the key is not known"});
        engine.sessions.erase(session.id);
        return;
    }
    session.accepted = true;
    session.idleSince = now;
    engine.actions.emplace_back(accept_session{session.id});
}

/// Begins a transaction for the client. BEGIN is sent to the database as soon as a connection is available.
void beginTransaction(proxy_engine &engine, client_session &session, const client_statement &statement, time_point now)
{
    std::optional<route> sessionRoute = servedRouteOf(engine, session);
    if (!sessionRoute) {
        sendReply(engine, session, localReply(session, reply_code::unknownDatabase, "no route has this name"));
        return;
    }
    if (session.relayed && !identify(engine, session)) {
        sendReply(engine, session, localReply(session, reply_code::unauthorized, "the caller's key is not known here"));
        return;
    }
    client_transaction transaction;
    transaction.sessionRoute = std::move(*sessionRoute);
    transaction.beginStatementId = statement.id;
    transaction.readOnly = statement.verb == client_verb::beginRead;
    transaction.beganAt = now;
    session.transaction = std::move(transaction);
    session.state = transaction_state::open;
    sendReply(engine, session, localReply(session));
    queueForConnection(engine, session, now);
}

void endFailedTransaction(proxy_engine &engine, client_session &session, client_verb verb, time_point now)
{
    endTransaction(engine, session, transaction_state::none, now);
    if (verb == client_verb::rollback) {
        sendReply(engine, session, localReply(session));
        return;
    }
    sendReply(engine, session, localReply(session, reply_code::aborted, "the transaction had failed and was rolled back"));
}

/// Replies to statements that are answered without waiting for a database; returns false for all others.
bool replyLocally(proxy_engine &engine, client_session &session, const client_statement &statement, time_point now)
{
    const bool endsTransaction = statement.verb == client_verb::commit || statement.verb == client_verb::rollback;
    if (session.state == transaction_state::failed) {
        const bool runsAtDatabase =
            statement.verb == client_verb::read || statement.verb == client_verb::write || statement.verb == client_verb::execute;
        if (endsTransaction) {
            endFailedTransaction(engine, session, statement.verb, now);
        } else if (session.failureUntold) {
            session.failureUntold = !runsAtDatabase;
            sendReply(engine, session, localReply(session, reply_code::aborted, "the transaction was ended and rolled back"));
        } else {
            sendReply(engine, session, localReply(session, reply_code::malformed, "the transaction has failed"));
        }
        return true;
    }
    switch (statement.verb) {
    case client_verb::malformed:
        sendReply(engine, session, localReply(session, reply_code::malformed, "not a statement"));
        return true;
    case client_verb::begin:
    case client_verb::beginRead:
        if (session.state == transaction_state::open) {
            sendReply(engine, session, localReply(session, reply_code::malformed, "a transaction is open already"));
        } else {
            beginTransaction(engine, session, statement, now);
        }
        return true;
    case client_verb::rollback:
        endTransaction(engine, session, transaction_state::none, now);
        sendReply(engine, session, localReply(session));
        return true;
    case client_verb::commit:
        if (session.state == transaction_state::none) {
            sendReply(engine, session, localReply(session, reply_code::malformed, "no transaction is open"));
            return true;
        }
        return false;
    case client_verb::setValue:
        session.values[statement.name] = statement.value;
        sendReply(engine, session, localReply(session));
        return true;
    case client_verb::prepare:
        session.prepared[statement.name] = {statement.writes, statement.value};
        sendReply(engine, session, localReply(session));
        return true;
    case client_verb::deallocate:
        if (session.prepared.erase(statement.name) == 0) {
            sendReply(engine, session, localReply(session, reply_code::unknownStatement, "nothing is prepared under this name"));
        } else {
            sendReply(engine, session, localReply(session));
        }
        return true;
    case client_verb::discard:
        session.values.clear();
        session.prepared.clear();
        sendReply(engine, session, localReply(session));
        return true;
    case client_verb::ping: {
        client_reply reply = localReply(session);
        reply.rows = groupsWatchedElsewhere(engine);
        sendReply(engine, session, std::move(reply));
        return true;
    }
    case client_verb::execute:
        if (!session.prepared.contains(statement.name)) {
            sendReply(engine, session, localReply(session, reply_code::unknownStatement, "nothing is prepared under this name"));
            return true;
        }
        return false;
    case client_verb::read:
    case client_verb::write:
        return false;
    }
    return false;
}

bool isWrite(const client_session &session, const client_statement &statement)
{
    if (statement.verb == client_verb::execute) {
        return session.prepared.at(statement.name).writes;
    }
    return statement.verb == client_verb::write;
}

void startStatement(proxy_engine &engine, client_session &session, client_statement statement, time_point now)
{
    engine.counters.statements += 1;
    const route *sessionRoute = session.transaction ? &session.transaction->sessionRoute : configuredRouteOf(engine, session);
    if (sessionRoute == nullptr) {
        sendReply(engine, session, localReply(session, reply_code::unknownDatabase, "no route has this name"));
        return;
    }
    running_statement running;
    running.writes = isWrite(session, statement);
    running.statement = std::move(statement);
    running.arrivedAt = now;
    running.deadline = now + sessionRoute->timeout;
    if (session.relayed && session.relayedTimeout > duration{}) {
        running.deadline = std::min(running.deadline, now + session.relayedTimeout);
    }
    session.current = std::move(running);
    scheduleTimer(engine, session.current->deadline, timer_kind::session, session.id.value());
    const bool tooLateToStart = engine.stoppingSince != time_point{} && now - engine.stoppingSince >= engine.settings.statementDrainTimeout;
    if (engine.exiting || (tooLateToStart && !session.transaction)) {
        giveUpStatement(engine, session, "the instance stops", now);
        return;
    }
    if (session.transaction && session.transaction->readOnly && session.current->writes) {
        refuseStatement(engine, session, reply_code::readOnly, "write in a transaction for reading", now);
        return;
    }
    if (!session.transaction) {
        queueForConnection(engine, session, now);
        return;
    }
    if (session.transaction->phase == transaction_phase::ready) {
        sendInTransaction(engine, session, now);
    } else if (session.transaction->phase == transaction_phase::waitingForConnection) {
        if (!session.waiting) {
            queueForConnection(engine, session, now);
        } else if (engine.routes.workspaces.enabled) {
            // A refusal of its BEGIN may have waited for this statement.
            engine.groupsToDispatch.insert(session.transaction->sessionRoute.group);
        }
    }
}

void startNextStatement(proxy_engine &engine, client_session &session, time_point now)
{
    while (!session.current && !session.queuedStatements.empty()) {
        client_statement statement = std::move(session.queuedStatements.front());
        session.queuedStatements.pop_front();
        if (!session.relayed && !identify(engine, session)) {
            engine.counters.statements += 1;
            replyUnidentified(engine, session, now);
        } else if (!replyLocally(engine, session, statement, now)) {
            startStatement(engine, session, std::move(statement), now);
        }
    }
    session.idleSince = now;
    if (!session.current && session.transaction) {
        scheduleTimer(engine, now + engine.routes.idleInTransactionTimeout, timer_kind::session, session.id.value());
    }
}

/// Whether the session has no statement and no transaction, so that closing it interrupts no work of its client.
bool isIdle(const client_session &session)
{
    return session.accepted && !session.current && session.queuedStatements.empty() && session.state == transaction_state::none;
}

void scheduleSessionClose(proxy_engine &engine, client_session &session, time_point now)
{
    const auto jitterMicros = static_cast<std::uint64_t>(engine.settings.sessionCloseJitter.count());
    const time_point randomCloseAt =
        now + engine.settings.sessionCloseDelay + duration(static_cast<std::int64_t>(engine.random() % jitterMicros));
    // Clients may still be routed here long after the stop request: their sessions are closed once idle, at the earliest
    // after sessionCloseDelay.
    const time_point lastRegularCloseAt = engine.stoppingSince + engine.settings.sessionCloseDelay + engine.settings.sessionCloseJitter;
    session.closeAt = std::min(randomCloseAt, std::max(lastRegularCloseAt, now + engine.settings.sessionCloseDelay));
    scheduleTimer(engine, session.closeAt, timer_kind::session, session.id.value());
    if (session.transaction) {
        scheduleTimer(engine, now + engine.settings.transactionDrainTimeout, timer_kind::session, session.id.value());
    }
}

void closeIfIdle(proxy_engine &engine, client_session &session, time_point now)
{
    if (session.closeAt == time_point{} || now < session.closeAt || !isIdle(session)) {
        return;
    }
    // To a client whose next statement is under way the error is its answer: the statement does not run.
    const bool stops = engine.stoppingSince != time_point{};
    engine.actions.emplace_back(close_session{session.id, stops ? reply_code::busy : reply_code::done, stops ? "the instance stops" : ""});
    engine.sessions.erase(session.id);
}

} // namespace

void onSessionStarted(proxy_engine &engine, session_id id, const std::string &database, time_point now, const api_key &key)
{
    client_session &session = engine.sessions[id];
    session.id = id;
    session.database = database;
    session.key = key;
    session.startedAt = now;
    if (engine.stoppingSince != time_point{}) {
        scheduleSessionClose(engine, session, now);
    }
    acceptOrRefuseSession(engine, session, now);
}

bool mayReadFrom(const proxy_engine &engine, session_id id)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return true;
    }
    std::size_t bytes = 0;
    for (const client_statement &statement : found->second.queuedStatements) {
        bytes += statement.text.size() + statement.value.size();
    }
    return bytes <= engine.settings.maxQueuedBytes;
}

void onStatement(proxy_engine &engine, session_id id, client_statement statement, time_point now)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return;
    }
    client_session &session = found->second;
    if (session.queuedStatements.size() >= engine.settings.maxQueuedStatements) {
        reportEvent(engine, "session_backlog_full", {{"session", std::to_string(id.value())}});
        engine.actions.emplace_back(close_session{id, reply_code::malformed, "too many statements at once"});
        onSessionClosed(engine, id, now);
        return;
    }
    session.queuedStatements.push_back(std::move(statement));
    startNextStatement(engine, session, now);
    if (session.closeAt != time_point{}) {
        scheduleTimer(engine, std::max(now, session.closeAt), timer_kind::session, session.id.value());
    }
    dispatchReadyGroups(engine, now);
}

void onSessionClosed(proxy_engine &engine, session_id id, time_point now)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return;
    }
    client_session &session = found->second;
    if (session.transaction) {
        endTransaction(engine, session, transaction_state::none, now);
    } else if (session.current) {
        releaseEarlierRun(engine, session, now);
        releaseConnection(engine, session.current->connection, now);
    }
    engine.sessions.erase(found);
    dispatchReadyGroups(engine, now);
}

void onStop(proxy_engine &engine, time_point now)
{
    engine.stoppingSince = now;
    stopLimits(engine, now);
    for (auto &[id, session] : engine.sessions) {
        scheduleSessionClose(engine, session, now);
    }
}

namespace proxying
{

void replyToStatement(proxy_engine &engine, client_session &session, client_reply reply, time_point now)
{
    assert(session.current.has_value());
    releaseEarlierRun(engine, session, now);
    session.current.reset();
    reply.state = session.state;
    sendReply(engine, session, std::move(reply));
    startNextStatement(engine, session, now);
    if (session.closeAt != time_point{}) {
        // The calling functions still use the session, so a timer closes it.
        scheduleTimer(engine, std::max(now, session.closeAt), timer_kind::session, session.id.value());
    }
}

void refuseStatement(proxy_engine &engine, client_session &session, reply_code code, const char *reason, time_point now)
{
    const running_statement &running = *session.current;
    const group_state *group = groupOf(engine, session);
    const bool hasPrimary = group != nullptr && (group->primary.has_value() || !group->holders.empty());
    client_reply reply;
    reply.code = code;
    reply.detail = reason;
    reply.retryAfter = hasPrimary ? overloadRetryAfter : failoverRetryAfter;
    engine.counters.refusals += 1;
    engine.counters.refusalsByCause[reason] += 1;
    if (!session.relayed) {
        countRefusal(engine.counters.workspaces, session.caller.workspace, reason);
    }
    reportEvent(engine,
                "statement_refused",
                {{"request", running.statement.id},
                 {"transaction", session.transaction ? session.transaction->beginStatementId : std::string("-")},
                 {"database", session.database},
                 {"group", group == nullptr ? std::string("-") : group->name.value()},
                 {"code", std::string(toString(code))},
                 {"why", reason},
                 {"workspace", session.caller.workspace.value().empty() ? std::string("-") : session.caller.workspace.value()},
                 {"waited_ms", toMillisText(now - running.arrivedAt)},
                 {"attempts", std::to_string(running.attempts)},
                 {"lead", group != nullptr && group->primary ? group->primary->value() : std::string("none")},
                 {"lead_proved_ms_ago", group == nullptr ? std::string("-") : toMillisText(now - group->primaryConfirmedAt)}});
    if (session.transaction) {
        const bool ends = running.statement.verb == client_verb::commit;
        endTransaction(engine, session, ends ? transaction_state::none : transaction_state::failed, now);
    }
    replyToStatement(engine, session, std::move(reply), now);
}

void reportInDoubt(proxy_engine &engine, const client_session &session, const database_name &from, const char *reason)
{
    reportEvent(engine,
                "statement_in_doubt",
                {{"request", session.current->statement.id},
                 {"transaction", session.transaction ? session.transaction->beginStatementId : std::string("-")},
                 {"database", session.database},
                 {"from", from.value()},
                 {"why", reason}});
}

void endTransaction(proxy_engine &engine, client_session &session, transaction_state stateAfter, time_point now)
{
    if (session.transaction && session.transaction->connection != database_connection_id{}) {
        releaseConnection(engine, session.transaction->connection, now);
    }
    if (session.transaction && session.transaction->statements > 0) {
        constexpr double weight = 0.1;
        const auto length = static_cast<double>(session.transaction->statements);
        const auto [average, inserted] = engine.statementsPerTransaction.try_emplace(session.database, length);
        average->second += inserted ? 0 : weight * (length - average->second);
    }
    session.transaction.reset();
    session.state = stateAfter;
    session.failureUntold = false;
}

namespace
{

/// Records an overload of the primary when an admitted statement got no connection in time.
void recordPrimaryOverload(proxy_engine &engine, const client_session &session, time_point now)
{
    group_state *group = groupOf(engine, session);
    const bool wasAdmitted = session.current->admitted || (session.transaction && session.transaction->admitted);
    if (!wasAdmitted || group == nullptr || !group->primary) {
        return;
    }
    const auto primary = group->databases.find(*group->primary);
    if (primary != group->databases.end()) {
        recordOverload(primary->second, now);
    }
}

bool wasSent(const running_statement &running)
{
    return running.connection != database_connection_id{} || running.earlierRun || running.replyHeld;
}

void handleStatementTimeout(proxy_engine &engine, client_session &session, time_point now)
{
    if (!wasSent(*session.current)) {
        recordPrimaryOverload(engine, session, now);
        giveUpStatement(engine, session, "no connection in time", now);
        return;
    }
    giveUpStatement(engine, session, "no answer in time", now);
}

/// Handles an overdue reply: the database is suspected unless it has replied since the statement was sent, and a read
/// outside a transaction is sent to another database, too.
void handleReplyTimeout(proxy_engine &engine, client_session &session, time_point now)
{
    running_statement &running = *session.current;
    const auto connection = engine.connections.find(running.connection);
    if (connection == engine.connections.end()) {
        return;
    }
    group_state &group = engine.groups.at(connection->second.group);
    if (connection->second.toHolder) {
        database_state *holder = databaseOf(engine, connection->second);
        if (holder == nullptr || awaitHolder(engine, group, *holder, running, now)) {
            constexpr duration checkInterval = std::chrono::milliseconds(100);
            scheduleTimer(engine, now + checkInterval, timer_kind::session, session.id.value());
            return;
        }
        const database_name name = connection->second.database;
        suspectHolder(engine, name, "holder does not reply", now);
        dropHolder(engine, name, now);
        return;
    }
    const auto database = group.databases.find(connection->second.database);
    if (database != group.databases.end() && database->second.lastReplyAt < running.sentAt) {
        markSuspected(engine, group, database->second, "statement without an answer", now);
    }
    if (session.transaction || running.writes) {
        return;
    }
    reportEvent(engine,
                "read_asked_elsewhere",
                {{"request", running.statement.id},
                 {"from", connection->second.database.value()},
                 {"waited_ms", toMillisText(now - running.sentAt)}});
    running.excludedDatabases.push_back(connection->second.database);
    runElsewhere(engine, session, now);
}

} // namespace

void giveUpStatement(proxy_engine &engine, client_session &session, const char *reason, time_point now)
{
    const running_statement &running = *session.current;
    if (!wasSent(running)) {
        // The instance that relayed it runs it elsewhere.
        const bool movesOn = session.relayed && engine.stoppingSince != time_point{};
        const reply_code refusal = movesOn ? reply_code::misrouted : reply_code::busy;
        refuseStatement(engine, session, session.transaction ? reply_code::aborted : refusal, reason, now);
        return;
    }
    const bool mayBeCommitted =
        session.transaction ? running.statement.verb == client_verb::commit && session.transaction->wrote : running.writes;
    const auto connection = engine.connections.find(running.connection);
    const database_name from = connection == engine.connections.end() ? database_name() : connection->second.database;
    if (!session.transaction) {
        releaseConnection(engine, running.connection, now);
    }
    if (mayBeCommitted) {
        inDoubt(engine, session, from, reason, now);
    } else {
        refuseStatement(engine, session, reply_code::aborted, reason, now);
    }
}

void checkSession(proxy_engine &engine, client_session &session, time_point now)
{
    if (!session.accepted) {
        acceptOrRefuseSession(engine, session, now);
        return;
    }
    if (session.current) {
        if (now >= session.current->deadline) {
            handleStatementTimeout(engine, session, now);
            return;
        }
        if (session.current->connection != database_connection_id{} && now >= session.current->replyDueAt) {
            handleReplyTimeout(engine, session, now);
        }
        return;
    }
    const bool idleTooLong = session.transaction && now - session.idleSince >= engine.routes.idleInTransactionTimeout;
    const bool drainTimedOut = session.transaction && engine.stoppingSince != time_point{}
                               && now - engine.stoppingSince >= engine.settings.transactionDrainTimeout;
    if (idleTooLong || drainTimedOut) {
        reportEvent(engine,
                    "transaction_ended",
                    {{"transaction", session.transaction->beginStatementId},
                     {"database", session.database},
                     {"why", idleTooLong ? "rested too long" : "instance stops"}});
        endTransaction(engine, session, transaction_state::failed, now);
        session.failureUntold = true;
        return;
    }
    closeIfIdle(engine, session, now);
}

} // namespace proxying

} // namespace mustardrouter
