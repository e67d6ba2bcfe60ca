#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace proxying;

/// The prepared statements of a connection that has more than this are discarded before its next use.
constexpr std::size_t maxPreparedPerConnection = 200;
/// A connection to a holder is closed after this time without use; it costs no more than a few bytes at either end.
constexpr duration holderIdleTimeout = std::chrono::seconds(20);
/// The same for a connection to a database of a group that other instances hold; it was opened while none was in reach.
constexpr duration ownIdleTimeoutWhenRelaying = std::chrono::milliseconds(400);
/// Time that a holder's reply may take on its way back.
constexpr duration relayReplyMargin = std::chrono::milliseconds(60);
/// Whether other instances hold the connections to the group, so that they need this one.
bool isNeededByHolders(const proxy_engine &engine, const database_connection &connection)
{
    const auto group = engine.groups.find(connection.group);
    return !connection.toHolder && group != engine.groups.end() && !group->second.holders.empty();
}

client_session *sessionOf(proxy_engine &engine, const database_connection &connection)
{
    const auto found = engine.sessions.find(connection.session);
    return found == engine.sessions.end() ? nullptr : &found->second;
}

/// All replies that were outstanding on the connection have been received.
void allRepliesReceived(proxy_engine &engine, database_connection &connection, time_point now)
{
    client_session *session = sessionOf(engine, connection);
    if (session == nullptr) {
        if (connection.inTransaction) {
            releaseConnection(engine, connection.id, now);
            return;
        }
        const bool wasIdle = connection.state == database_connection_state::idle;
        connection.state = database_connection_state::idle;
        connection.session = session_id{};
        if (!wasIdle) {
            connection.since = now;
            scheduleIdleCheck(engine, connection, now);
        }
        engine.groupsToDispatch.insert(connection.group);
        return;
    }
    if (connection.state == database_connection_state::held) {
        if (session->current && session->current->reply) {
            const database_reply reply = std::move(*session->current->reply);
            session->current->reply.reset();
            transactionAnswered(engine, connection, *session, reply, now);
        }
        return;
    }
    const statement_run *run = runOn(*session, connection.id);
    if (run != nullptr && run->reply) {
        makeLatestRun(*session, connection.id);
        finishAutocommit(engine, connection, *session, now);
    }
}

void primaryCheckAnswered(proxy_engine &engine,
                          group_state &group,
                          database_connection &connection,
                          const database_reply &reply,
                          time_point requestedAt,
                          time_point now)
{
    const bool isPrimary = reply.code == reply_code::done && reply.state == transaction_state::open;
    client_session *session = sessionOf(engine, connection);
    if (statement_run *run = session == nullptr ? nullptr : runOn(*session, connection.id)) {
        (run->reply ? run->primaryCheckedAfter : run->primaryCheckedBefore) = isPrimary;
    }
    if (isPrimary) {
        connection.primaryCheckedAt = requestedAt;
        recordPrimary(engine, group, connection.database, reply.position, requestedAt, now);
    } else if (reply.code == reply_code::readOnly) {
        if (database_state *database = databaseOf(engine, connection)) {
            database->notPrimaryAt = std::max(database->notPrimaryAt, requestedAt);
        }
        recordNotPrimary(engine, group, connection.database, now);
        releaseVerified(engine, group, now);
    }
}

void statusAnswered(database_state &database, const database_reply &reply, time_point requestedAt)
{
    if (!reply.status) {
        return;
    }
    const bool grew = !database.status || reply.status->received > database.status->received;
    if (grew) {
        database.logGrewAt = requestedAt;
    }
    database.status = reply.status;
    database.statusAt = requestedAt;
    if (reply.status->pausedUntilTerm == term_number{} && requestedAt > database.pausedAt) {
        database.pausedAt = time_point{};
    }
    database.connectionsInUse = reply.status->connections;
    database.connectionsReportedAt = requestedAt;
}

bool matchesExpected(const expected_reply &expected, const database_reply &reply)
{
    if (reply.code != reply_code::done) {
        return true;
    }
    const bool isSigned = !reply.signature.empty();
    return isSigned == (expected.purpose == reply_purpose::statement);
}

/// Closes a connection whose idle timeout, which depends on how many of the database's connections are in use, has passed.
/// Requests the database's status when that number is outdated.
void checkIdle(proxy_engine &engine, database_connection &connection, time_point now)
{
    const database_state *database = databaseOf(engine, connection);
    const bool unusedToHolder = connection.toHolder && now - connection.since >= holderIdleTimeout;
    const bool needed = isNeededByHolders(engine, connection) && now - connection.since >= ownIdleTimeoutWhenRelaying;
    if (database == nullptr || unusedToHolder || needed) {
        discardConnection(engine, connection.id);
        return;
    }
    if (connection.toHolder) {
        scheduleTimer(engine, connection.since + holderIdleTimeout, timer_kind::connection, connection.id.value());
        return;
    }
    const duration idleTimeout = idleTimeoutOf(budgetOf(engine, engine.groups.at(connection.group), *database, now));
    const duration idleFor = now - connection.since;
    // Instances that learn of a shortage at the same time must not all close connections at once. Each requests the number
    // again after a random delay and decides by the new one.
    const bool due = idleFor >= idleTimeout;
    const duration age = now - database->connectionsReportedAt;
    const bool fresh = age <= engine.settings.connectionCountFreshFor;
    if (due && fresh) {
        discardConnection(engine, connection.id);
        return;
    }
    const bool outdated = due || age > engine.settings.connectionCountValidFor * 3;
    if (outdated && connection.expected.empty()) {
        sendProbe(engine, connection, probe_request{.status = true}, now);
    }
    const auto spread = static_cast<std::uint64_t>(engine.settings.connectionCountFreshFor.count());
    const duration next = due ? duration(static_cast<std::int64_t>(spread / 4 + engine.random() % spread))
                              : std::min(idleTimeout - idleFor, engine.settings.connectionCountValidFor);
    scheduleTimer(engine, now + next, timer_kind::connection, connection.id.value());
}

/// Retries, refuses or reports in doubt the statement or transaction that used the lost connection.
void connectionLost(
    proxy_engine &engine, client_session &session, const database_connection &lostConnection, sent_work lastSent, time_point now)
{
    const bool notRun = lastSent != sent_work::mayHaveRun;
    if (session.transaction && session.transaction->connection == lostConnection.id) {
        session.transaction->connection = database_connection_id{};
        if (session.transaction->phase == transaction_phase::beginning) {
            // No statement of the client has run yet, so the transaction can begin on another connection.
            session.transaction->phase = transaction_phase::waitingForConnection;
            queueForConnection(engine, session, now);
            return;
        }
        if (!session.current) {
            endTransaction(engine, session, transaction_state::failed, now);
            session.failureUntold = true;
            return;
        }
        if (notRun && beginElsewhere(engine, lostConnection, session, {}, now)) {
            return;
        }
        if (!notRun && session.current->statement.verb == client_verb::commit && session.transaction->wrote) {
            inDoubt(engine, session, lostConnection.database, "connection lost at the commit", now);
            return;
        }
        refuseStatement(engine, session, reply_code::aborted, "connection lost inside a transaction", now);
        return;
    }
    if (session.current && session.current->earlierRun && session.current->earlierRun->connection == lostConnection.id) {
        session.current->earlierRun.reset();
        return;
    }
    if (!session.current || session.current->connection != lostConnection.id) {
        return;
    }
    session.current->connection = database_connection_id{};
    if (notRun) {
        session.current->excludedDatabases.push_back(lostConnection.database);
        retry(engine, session, lostConnection.database, "not handled by the holder", {}, now);
        return;
    }
    if (session.current->writes) {
        inDoubt(engine, session, lostConnection.database, "connection lost after the write was sent", now);
        return;
    }
    retry(engine, session, lostConnection.database, "connection lost", {}, now);
}

void removeConnection(proxy_engine &engine, database_connection_id id)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    if (database_state *database = databaseOf(engine, found->second)) {
        std::erase(database->connections, id);
    }
    engine.connections.erase(found);
}

} // namespace

void onConnectionOpened(proxy_engine &engine, database_connection_id id, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    database_connection &connection = found->second;
    connection.state = database_connection_state::idle;
    connection.since = now;
    if (database_state *database = databaseOf(engine, connection); database != nullptr && !connection.toHolder) {
        database->lastReplyAt = now;
        if (now - database->connectionsReportedAt > engine.settings.connectionCountValidFor) {
            sendProbe(engine, connection, probe_request{.status = true}, now);
        }
    }
    if (connection.toHolder) {
        channelOpened(engine, connection, now);
    }
    scheduleIdleCheck(engine, connection, now);
    engine.groupsToDispatch.insert(connection.group);
    checkVerification(engine, engine.groups.at(connection.group), now);
    dispatchReadyGroups(engine, now);
}

void onConnectionRefused(proxy_engine &engine, database_connection_id id, reply_code code, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    engine.counters.connectionsRefused += 1;
    reportEvent(engine, "connection_refused", {{"to", found->second.database.value()}, {"code", std::string(toString(code))}});
    const group_name group = found->second.group;
    if (database_state *database = databaseOf(engine, found->second)) {
        database->openNotBefore = now + engine.settings.openBackoff;
        scheduleTimer(engine, database->openNotBefore, timer_kind::dispatch, 0, group);
        if (code == reply_code::tooManyConnections) {
            database->connectionsInUse = engine.groups.at(group).limits.connections;
            database->connectionsReportedAt = now;
        }
    }
    removeConnection(engine, id);
    dispatchReadyGroups(engine, now);
}

void onConnectionClosed(proxy_engine &engine, database_connection_id id, time_point now, sent_work lastSent)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    const database_connection connection = found->second;
    if (database_state *database = databaseOf(engine, connection)) {
        group_state &group = engine.groups.at(connection.group);
        if (connection.state == database_connection_state::opening) {
            database->openNotBefore = now + engine.settings.openBackoff;
            scheduleTimer(engine, database->openNotBefore, timer_kind::dispatch, 0, group.name);
        }
        if (!connection.toHolder) {
            markSuspected(engine, group, *database, "connection lost", now);
        } else if (lastSent != sent_work::mayHaveRun) {
            workNotHandled(engine, *database, connection, lastSent, now);
        } else if (connection.state != database_connection_state::idle) {
            // A holder that stops closes its idle connections.
            suspectHolder(engine, connection.database, "connection lost", now);
        }
    }
    removeConnection(engine, id);
    if (client_session *session = sessionOf(engine, connection)) {
        connectionLost(engine, *session, connection, lastSent, now);
    }
    dispatchReadyGroups(engine, now);
}

namespace
{

/// Records that the database or holder replied, and what its status says.
void recordSignOfLife(proxy_engine &engine,
                      group_state &group,
                      const database_connection &connection,
                      const database_reply &reply,
                      const expected_reply &expected,
                      time_point now)
{
    database_state *database = databaseOf(engine, connection);
    if (database == nullptr) {
        return;
    }
    database->lastReplyAt = now;
    if (!connection.toHolder && expected.sentAt >= database->logEndAt) {
        database->logEnd = reply.status ? reply.status->received : reply.position ? reply.position : database->logEnd;
        database->logEndAt = expected.sentAt;
    }
    if (database->suspectedSince != time_point{}) {
        reportEvent(engine,
                    "database_trusted",
                    {{"database", connection.database.value()}, {"silent_ms", toMillisText(now - database->suspectedSince)}});
        database->suspectedSince = time_point{};
        engine.groupsToDispatch.insert(group.name);
        if (connection.toHolder) {
            trustHolder(engine, connection.database, now);
        }
    }
    if (expected.purpose == reply_purpose::status && connection.toHolder) {
        recordWatchReport(engine, connection.database, reply.rows, now);
    }
    if (expected.purpose != reply_purpose::status || connection.toHolder) {
        return;
    }
    statusAnswered(*database, reply, expected.sentAt);
    if (reply.status && !engine.settings.replacedPrimariesStepDown) {
        recordRole(engine, group, *database, expected.sentAt, now);
    } else if (reply.status && reply.status->primary && reply.status->term >= group.primaryTerm) {
        assumePrimary(engine, group, connection.database, "status", now);
    }
}

/// Closes a connection with a transaction that was left open, once no client waits for a reply on it.
void closeLeftOpen(proxy_engine &engine, database_connection_id id)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end() || !found->second.transactionLeftOpen) {
        return;
    }
    const database_connection &connection = found->second;
    const client_session *session = engine.sessions.contains(connection.session) ? &engine.sessions.at(connection.session) : nullptr;
    const bool isAwaited = session != nullptr && session->current && !connection.expected.empty();
    if (!isAwaited) {
        engine.groupsToDispatch.insert(connection.group);
        discardConnection(engine, id);
    }
}

/// Whether no reply is outstanding but those to probes that were sent behind a client's statement.
bool workIsAnswered(const database_connection &connection)
{
    const bool runsStatement = connection.state == database_connection_state::busy && connection.session != session_id{};
    return connection.expected.empty() || (runsStatement && std::ranges::all_of(connection.expected, &expected_reply::ofProbe));
}

} // namespace

void onDatabaseReply(proxy_engine &engine, database_connection_id id, database_reply reply, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    database_connection &connection = found->second;
    const bool replyExpected = !connection.expected.empty();
    if (!replyExpected || !matchesExpected(connection.expected.front(), reply)) {
        // No reply was expected, or the reply is not of the expected kind: replies on this connection can no longer be matched
        // to their commands.
        reportEvent(
            engine, "answer_out_of_order", {{"database", connection.database.value()}, {"expected", replyExpected ? "another" : "none"}});
        engine.actions.emplace_back(close_database_connection{id});
        onConnectionClosed(engine, id, now);
        return;
    }
    const expected_reply expected = connection.expected.front();
    connection.expected.pop_front();
    group_state &group = engine.groups.at(connection.group);
    recordSignOfLife(engine, group, connection, reply, expected, now);
    client_session *session = sessionOf(engine, connection);
    switch (expected.purpose) {
    case reply_purpose::setup:
        if (reply.code != reply_code::done) {
            reportEvent(engine, "setup_refused", {{"database", connection.database.value()}, {"code", std::string(toString(reply.code))}});
            connection.valuesUncertain = true;
        }
        break;
    case reply_purpose::primaryCheck:
        primaryCheckAnswered(engine, group, connection, reply, expected.sentAt, now);
        break;
    case reply_purpose::statement:
        if (statement_run *run = session == nullptr ? nullptr : runOn(*session, id)) {
            run->reply = std::move(reply);
        } else if (!connection.abandonedRequest.empty()) {
            engine.counters.lateReplies += 1;
            reportEvent(engine,
                        "answer_late",
                        {{"request", std::exchange(connection.abandonedRequest, {})},
                         {"database", connection.database.value()},
                         {"code", std::string(toString(reply.code))},
                         {"asked_ms_ago", toMillisText(now - expected.sentAt)},
                         {"given_up_ms_ago", toMillisText(now - connection.abandonedAt)}});
        }
        break;
    case reply_purpose::begin:
        if (session != nullptr && session->transaction) {
            connection.since = expected.sentAt;
            transactionBegun(engine, connection, *session, reply, now);
        }
        break;
    case reply_purpose::cleanup:
    case reply_purpose::primaryCheckEnd:
        if (!connection.toHolder && reply.state != transaction_state::none) {
            recordLeftOpen(engine, connection, reply.code);
        }
        break;
    case reply_purpose::status:
        break;
    }
    releaseConfirmed(engine, group, now);
    const auto remaining = engine.connections.find(id);
    if (remaining != engine.connections.end() && workIsAnswered(remaining->second) && expected.purpose != reply_purpose::begin) {
        allRepliesReceived(engine, remaining->second, now);
    }
    closeLeftOpen(engine, id);
    dispatchReadyGroups(engine, now);
}

namespace proxying
{

void recordLeftOpen(proxy_engine &engine, database_connection &connection, reply_code code)
{
    connection.transactionLeftOpen = true;
    engine.counters.transactionsLeftOpen += 1;
    reportEvent(engine, "transaction_left_open", {{"database", connection.database.value()}, {"code", std::string(toString(code))}});
}

database_state *databaseOf(proxy_engine &engine, const database_connection &connection)
{
    const auto group = engine.groups.find(connection.group);
    if (group == engine.groups.end()) {
        return nullptr;
    }
    std::map<database_name, database_state> &states = connection.toHolder ? group->second.holders : group->second.databases;
    const auto found = states.find(connection.database);
    return found == states.end() ? nullptr : &found->second;
}

void scheduleIdleCheck(proxy_engine &engine, const database_connection &connection, time_point now)
{
    if (connection.toHolder || isNeededByHolders(engine, connection)) {
        const duration timeout = connection.toHolder ? holderIdleTimeout : ownIdleTimeoutWhenRelaying;
        scheduleTimer(engine, now + timeout, timer_kind::connection, connection.id.value());
        return;
    }
    const database_state *database = databaseOf(engine, connection);
    if (database != nullptr) {
        const duration idleTimeout = idleTimeoutOf(budgetOf(engine, engine.groups.at(connection.group), *database, now));
        scheduleTimer(
            engine, now + std::min(idleTimeout, engine.settings.connectionCountValidFor), timer_kind::connection, connection.id.value());
    }
}

void sendProbe(proxy_engine &engine, database_connection &connection, const probe_request &probe, time_point now)
{
    std::vector<database_command> commands;
    std::vector<reply_purpose> purposes;
    const auto add = [&](command_kind kind, reply_purpose purpose) {
        database_command command;
        command.kind = kind;
        command.term = std::max(probe.pauseAt, probe.stepDownAt);
        commands.push_back(command);
        purposes.push_back(purpose);
    };
    if (probe.primaryCheck) {
        add(command_kind::begin, reply_purpose::primaryCheck);
        add(command_kind::rollback, reply_purpose::primaryCheckEnd);
        engine.counters.primaryChecks += 1;
    }
    if (probe.status) {
        const bool pauses = probe.pauseAt != term_number{};
        const bool stepsDown = probe.stepDownAt != term_number{};
        add(stepsDown      ? command_kind::stepDown
            : pauses       ? command_kind::pause
            : probe.resume ? command_kind::resume
                           : command_kind::status,
            reply_purpose::status);
    }
    const std::size_t before = connection.expected.size();
    sendOn(engine, connection, std::move(commands), purposes, now);
    for (std::size_t index = before; index < connection.expected.size(); ++index) {
        connection.expected[index].ofProbe = true;
    }
    scheduleTimer(engine, now + engine.settings.abandonedReplyTimeout, timer_kind::connection, connection.id.value());
}

namespace
{

duration openTimeoutOf(const proxy_engine &engine, const database_connection &connection)
{
    return connection.toHolder ? engine.settings.holderOpenTimeout : engine.settings.openTimeout;
}

} // namespace

database_connection &openConnection(
    proxy_engine &engine, group_state &group, database_state &database, time_point now, bool toHolder, const workspace_name &workspace)
{
    const database_connection_id id(engine.nextConnectionId++);
    database_connection &connection = engine.connections[id];
    connection.id = id;
    connection.database = database.listed.name;
    connection.group = group.name;
    connection.toHolder = toHolder;
    connection.workspace = workspace;
    connection.since = now;
    database.connections.push_back(id);
    engine.counters.connectionsOpened += toHolder ? 0 : 1;
    engine.actions.emplace_back(
        open_database_connection{id, connection.database, group.name, database.listed.address, toHolder, workspace});
    scheduleTimer(engine, now + openTimeoutOf(engine, connection), timer_kind::connection, id.value());
    return connection;
}

void sendOn(proxy_engine &engine,
            database_connection &connection,
            std::vector<database_command> commands,
            const std::vector<reply_purpose> &purposes,
            time_point now)
{
    assert(commands.size() == purposes.size());
    for (const reply_purpose purpose : purposes) {
        connection.expected.push_back({purpose, now, false});
    }
    send_commands action{connection.id, std::move(commands), {}, {}, {}};
    if (const client_session *session = connection.toHolder ? sessionOf(engine, connection) : nullptr) {
        action.route = session->database;
        action.served = routeToName(engine, connection, *session);
        action.caller = session->caller;
        // The holder's refusal is to arrive before the deadline here.
        action.timeLeft = session->current ? std::max(session->current->deadline - now - relayReplyMargin, relayReplyMargin) : duration{};
    }
    engine.actions.emplace_back(std::move(action));
}

void releaseConnection(proxy_engine &engine, database_connection_id id, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    database_connection &connection = found->second;
    client_session *session = sessionOf(engine, connection);
    if (session != nullptr && !connection.expected.empty() && runOn(*session, id) != nullptr) {
        connection.abandonedRequest = session->current->statement.id;
        connection.abandonedAt = now;
    }
    connection.session = session_id{};
    connection.since = now;
    if (connection.prepared.size() > maxPreparedPerConnection) {
        connection.valuesUncertain = true;
    }
    if (connection.inTransaction) {
        // The rollback may also revert session values that were set inside the transaction.
        connection.valuesUncertain = connection.valuesUncertain || !connection.values.empty();
        connection.state = database_connection_state::busy;
        database_command rollback;
        rollback.kind = command_kind::rollback;
        connection.inTransaction = false;
        sendOn(engine, connection, {rollback}, {reply_purpose::cleanup}, now);
    }
    if (!connection.expected.empty()) {
        connection.state = database_connection_state::busy;
        const time_point requestedAt = connection.expected.front().sentAt;
        scheduleTimer(engine, std::max(now, requestedAt + engine.settings.lostReplyTimeout), timer_kind::connection, id.value());
        scheduleTimer(engine, now + engine.settings.abandonedReplyTimeout, timer_kind::connection, id.value());
        return;
    }
    connection.state = database_connection_state::idle;
    scheduleIdleCheck(engine, connection, now);
    engine.groupsToDispatch.insert(connection.group);
}

void discardConnection(proxy_engine &engine, database_connection_id id)
{
    engine.actions.emplace_back(close_database_connection{id});
    removeConnection(engine, id);
}

namespace
{

/// Whether the reply on this connection is overdue although the database has replied to later commands on others.
bool hasLostReply(proxy_engine &engine, const database_connection &connection, time_point now)
{
    const database_state *database = databaseOf(engine, connection);
    const time_point requestedAt = connection.expected.front().sentAt;
    const duration timeout = engine.settings.lostReplyTimeout;
    return database != nullptr && now - requestedAt >= timeout && database->lastReplyAt >= requestedAt + timeout / 2;
}

/// Whether the database is at work and not silent: it has replied to others since the connection was requested.
bool waitsForSlot(proxy_engine &engine, const database_connection &connection, time_point now)
{
    const database_state *database = connection.toHolder ? nullptr : databaseOf(engine, connection);
    const bool replies = database != nullptr && database->suspectedSince == time_point{} && database->lastReplyAt > connection.since;
    return replies && now - connection.since < engine.settings.abandonedReplyTimeout;
}

} // namespace

void checkConnection(proxy_engine &engine, database_connection &connection, time_point now)
{
    if (connection.state == database_connection_state::opening && waitsForSlot(engine, connection, now)) {
        scheduleTimer(engine, now + engine.settings.probeInterval, timer_kind::connection, connection.id.value());
        return;
    }
    const bool opening =
        connection.state == database_connection_state::opening && now - connection.since >= openTimeoutOf(engine, connection);
    const bool ownWork = connection.state == database_connection_state::idle
                         || (connection.state == database_connection_state::busy && connection.session == session_id{});
    const bool abandoned =
        ownWork && !connection.expected.empty() && now - connection.expected.front().sentAt >= engine.settings.abandonedReplyTimeout;
    const bool lost = ownWork && !connection.expected.empty() && hasLostReply(engine, connection, now);
    if (lost && !abandoned) {
        // The database is responsive: only this connection is closed.
        reportEvent(engine,
                    "answer_lost",
                    {{"database", connection.database.value()}, {"asked_ms_ago", toMillisText(now - connection.expected.front().sentAt)}});
        const group_name group = connection.group;
        discardConnection(engine, connection.id);
        engine.groupsToDispatch.insert(group);
        return;
    }
    if (abandoned && connection.toHolder) {
        discardConnection(engine, connection.id);
        return;
    }
    if (opening || abandoned) {
        const database_connection_id id = connection.id;
        engine.actions.emplace_back(close_database_connection{id});
        onConnectionClosed(engine, id, now);
        return;
    }
    if (connection.state == database_connection_state::idle) {
        checkIdle(engine, connection, now);
        return;
    }
    client_session *session = sessionOf(engine, connection);
    const bool sendAgain = connection.state == database_connection_state::held && connection.expected.empty() && session != nullptr
                           && session->current && !session->current->replyHeld && session->transaction
                           && session->transaction->connection == connection.id && session->transaction->phase == transaction_phase::ready;
    if (sendAgain && now >= session->current->notBefore) {
        sendInTransaction(engine, *session, now);
    }
}

bool isUsableIdle(const proxy_engine &engine, const database_connection &connection, time_point now)
{
    // A statement sent behind an unanswered probe would share the fate of its connection.
    const bool overdue = !connection.expected.empty() && now - connection.expected.front().sentAt >= engine.settings.replyTimeout / 2;
    return connection.state == database_connection_state::idle && !overdue && !connection.transactionLeftOpen;
}

database_connection *findIdle(proxy_engine &engine,
                              const database_state &database,
                              const std::map<std::string, std::string> &values,
                              time_point now,
                              const workspace_name *workspace)
{
    database_connection *best = nullptr;
    for (const database_connection_id id : database.connections) {
        database_connection &connection = engine.connections.at(id);
        if (!isUsableIdle(engine, connection, now) || (workspace != nullptr && connection.workspace != *workspace)) {
            continue;
        }
        if (!connection.valuesUncertain && connection.values == values) {
            return &connection;
        }
        best = &connection;
    }
    return best;
}

} // namespace proxying

} // namespace mustardrouter
