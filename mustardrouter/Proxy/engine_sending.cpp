#include "mustardrouter/Proxy/connection_setup.h"
#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/engine_workspaces.h"

#include <utility>

/// What is sent on a connection for a session's statement or BEGIN.
namespace mustardrouter::proxying
{

namespace
{

/// Age up to which a primary check is reused as the check before a read. Only two promotions within this time could hide a
/// change of the primary, and they take longer.
constexpr duration primaryCheckValidFor = std::chrono::milliseconds(250);
/// Replies to values and role checks take no slot of the database. After this time a session takes another connection if one is idle.
constexpr duration preparationTimeout = std::chrono::milliseconds(150);

database_command ownCommand(command_kind kind)
{
    database_command command;
    command.kind = kind;
    return command;
}

database_command clientCommand(database_connection &connection, const client_session &session, std::vector<database_command> &commands)
{
    const client_statement &statement = session.current->statement;
    database_command command;
    command.id = statement.id;
    command.kind = command_kind::forward;
    command.text = statement.text;
    if (statement.verb == client_verb::execute) {
        command.kind = command_kind::execute;
        command.name = appendPrepare(connection, session.prepared.at(statement.name), commands);
        command.value = statement.value;
    }
    return command;
}

/// Whether the database was primary when the session's statement was last about to be sent, or a moment ago.
bool isPrimaryChecked(const client_session &session, const database_connection &connection, time_point now)
{
    const bool checkedForIt = session.preparing == connection.id && connection.primaryCheckedAt >= session.preparingSince;
    return checkedForIt || now - connection.primaryCheckedAt <= primaryCheckValidFor;
}

/// Commands that set up the session's values and prepared statement on the connection, followed by the statement.
std::vector<database_command> prepareStatement(database_connection &connection,
                                               const client_session &session,
                                               std::vector<reply_purpose> &purposes)
{
    std::vector<database_command> commands;
    appendSessionValues(connection, session, commands);
    database_command statement = clientCommand(connection, session, commands);
    statement.floor = session.current->floor;
    purposes.assign(commands.size(), reply_purpose::setup);
    commands.push_back(std::move(statement));
    purposes.push_back(reply_purpose::statement);
    return commands;
}

void recordSent(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    running_statement &running = *session.current;
    running.connection = connection.id;
    running.sentAt = now;
    running.reply.reset();
    running.attempts += 1;
    running.replyDueAt = now + replyTimeoutOf(engine, running);
    connection.session = session.id;
    connection.preparedFor = session_id{};
    session.preparing = database_connection_id{};
    scheduleTimer(engine, running.replyDueAt, timer_kind::session, session.id.value());
}

} // namespace

void sendAutocommit(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    running_statement &running = *session.current;
    std::vector<reply_purpose> purposes;
    std::vector<database_command> commands = prepareStatement(connection, session, purposes);
    running.primaryCheckedAfter = false;
    running.primaryCheckedBefore = isPrimaryChecked(session, connection, now);
    if (running.needsPrimaryCheck) {
        commands.push_back(ownCommand(command_kind::begin));
        commands.push_back(ownCommand(command_kind::rollback));
        purposes.push_back(reply_purpose::primaryCheck);
        purposes.push_back(reply_purpose::primaryCheckEnd);
    }
    connection.state = database_connection_state::busy;
    recordSent(engine, session, connection, now);
    sendOn(engine, connection, std::move(commands), purposes, now);
    if (!connection.toHolder) {
        countOperation(engine.counters.workspaces, session.caller.workspace, now);
    }
    if (running.needsPrimaryCheck && !engine.settings.replacedPrimariesStepDown) {
        // The evidence that the read needs travels while the read runs.
        demandEvidence(engine, engine.groups.at(connection.group), connection.database, running.arrivedAt, now);
    }
}

void sendBegin(proxy_engine &engine, client_session &session, database_connection &connection, bool forReading, time_point now)
{
    client_transaction &transaction = *session.transaction;
    transaction.phase = transaction_phase::beginning;
    transaction.connection = connection.id;
    transaction.workspace = session.caller.workspace;
    connection.session = session.id;
    connection.preparedFor = session_id{};
    session.preparing = database_connection_id{};
    connection.state = database_connection_state::held;
    connection.inTransaction = true;
    std::vector<database_command> commands;
    appendSessionValues(connection, session, commands);
    std::vector<reply_purpose> purposes(commands.size(), reply_purpose::setup);
    commands.push_back(ownCommand(forReading ? command_kind::beginRead : command_kind::begin));
    commands.back().id = connection.toHolder ? transaction.beginStatementId : std::string();
    commands.back().floor = forReading || connection.toHolder ? transaction.floor : std::nullopt;
    purposes.push_back(reply_purpose::begin);
    sendOn(engine, connection, std::move(commands), purposes, now);
    if (!connection.toHolder) {
        countOperation(engine.counters.workspaces, session.caller.workspace, now);
    }
    if (!forReading && !connection.toHolder && !engine.settings.replacedPrimariesStepDown) {
        demandEvidence(engine, engine.groups.at(connection.group), connection.database, transaction.beganAt, now);
    }
}

bool acceptsWork(const proxy_engine &engine, const database_state &database, time_point now)
{
    return !database.listed.leaving || now - database.leavingSince < engine.settings.leavingGracePeriod;
}

namespace
{

bool needsValues(const database_connection &connection, const client_session &session)
{
    return connection.valuesUncertain || connection.values != session.values;
}

/// Sets the session's values on the connection, and checks its database's role if that is needed.
void sendPreparation(proxy_engine &engine, client_session &session, database_connection &connection, bool checksPrimary, time_point now)
{
    std::vector<database_command> commands;
    appendSessionValues(connection, session, commands);
    std::vector<reply_purpose> purposes(commands.size(), reply_purpose::setup);
    if (checksPrimary) {
        commands.push_back(ownCommand(command_kind::begin));
        commands.push_back(ownCommand(command_kind::rollback));
        purposes.push_back(reply_purpose::primaryCheck);
        purposes.push_back(reply_purpose::primaryCheckEnd);
        engine.counters.primaryChecks += 1;
    }
    connection.preparedFor = session.id;
    session.preparing = connection.id;
    session.preparingSince = now;
    sendOn(engine, connection, std::move(commands), purposes, now);
    scheduleTimer(engine, now + engine.settings.replyTimeout, timer_kind::connection, connection.id.value());
}

/// Whether the first statement of a transaction may follow the BEGIN on this connection: the client may have rested in between.
bool mayFollowBegin(proxy_engine &engine, const database_connection &connection, time_point now)
{
    if (connection.toHolder) {
        // The holder decides when it sends the statement.
        return true;
    }
    const database_state *database = databaseOf(engine, connection);
    return database != nullptr && acceptsWork(engine, *database, now);
}

/// Begins the session's transaction again, at the database that serves it now. Nothing of it has run.
void beginAgain(proxy_engine &engine, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    const database_connection_id held = std::exchange(transaction.connection, database_connection_id{});
    reportEvent(engine,
                "transaction_begun_again",
                {{"request", session.current->statement.id},
                 {"transaction", transaction.beginStatementId},
                 {"from", engine.connections.at(held).database.value()},
                 {"why", "the database leaves"}});
    transaction.phase = transaction_phase::waitingForConnection;
    releaseConnection(engine, held, now);
    queueForConnection(engine, session, now);
}

} // namespace

void sendInTransaction(proxy_engine &engine, client_session &session, time_point now)
{
    if (!mayContinueTransaction(engine, session)) {
        refuseStatement(engine, session, reply_code::aborted, "the workspace of the transaction has changed", now);
        return;
    }
    database_connection &connection = engine.connections.at(session.transaction->connection);
    if (session.transaction->statements == 0 && !mayFollowBegin(engine, connection, now)) {
        beginAgain(engine, session, now);
        return;
    }
    if (!connection.toHolder && needsValues(connection, session)) {
        sendPreparation(engine, session, connection, false, now);
        return;
    }
    session.transaction->statements += 1;
    session.current->floor.reset();
    session.current->needsPrimaryCheck = false;
    std::vector<reply_purpose> purposes;
    std::vector<database_command> commands = prepareStatement(connection, session, purposes);
    recordSent(engine, session, connection, now);
    sendOn(engine, connection, std::move(commands), purposes, now);
}

bool isPrepared(proxy_engine &engine, client_session &session, database_connection &connection, bool checksPrimary, time_point now)
{
    const bool isUnchecked = checksPrimary && !isPrimaryChecked(session, connection, now);
    if (connection.toHolder || (!isUnchecked && !needsValues(connection, session))) {
        return true;
    }
    connection.state = database_connection_state::busy;
    sendPreparation(engine, session, connection, isUnchecked, now);
    scheduleTimer(engine, now + preparationTimeout, timer_kind::dispatch, 0, connection.group);
    return false;
}

database_connection *preparedConnection(proxy_engine &engine, const client_session &session, const database_name &database, time_point now)
{
    const auto found = engine.connections.find(session.preparing);
    const bool isFree = found != engine.connections.end() && found->second.preparedFor == session.id && !found->second.toHolder
                        && found->second.database == database && isUsableIdle(engine, found->second, now);
    return isFree && !needsValues(found->second, session) ? &found->second : nullptr;
}

bool isBeingPrepared(const proxy_engine &engine, const client_session &session, time_point now)
{
    const auto found = engine.connections.find(session.preparing);
    return found != engine.connections.end() && found->second.preparedFor == session.id
           && found->second.state == database_connection_state::busy && now - session.preparingSince < preparationTimeout;
}

void preparationRefused(proxy_engine &engine, database_connection &connection, time_point now)
{
    connection.valuesUncertain = true;
    const auto found = engine.sessions.find(connection.preparedFor);
    if (found == engine.sessions.end() || found->second.preparing != connection.id) {
        return;
    }
    client_session &session = found->second;
    const time_point notBefore = now + engine.settings.overloadBackoff;
    if (session.transaction && session.transaction->phase == transaction_phase::waitingForConnection) {
        session.transaction->notBefore = notBefore;
    } else if (session.current) {
        session.current->notBefore = notBefore;
    }
    scheduleTimer(engine, notBefore, timer_kind::dispatch, 0, connection.group);
    scheduleTimer(engine, notBefore, timer_kind::connection, connection.id.value());
}

void checkPreparation(proxy_engine &engine, const database_connection &connection, time_point now)
{
    if (connection.toHolder || connection.preparedFor == session_id{} || connection.expected.empty()) {
        return;
    }
    database_state *database = databaseOf(engine, connection);
    const time_point sentAt = connection.expected.front().sentAt;
    if (database != nullptr && database->lastReplyAt < sentAt && now - sentAt >= engine.settings.replyTimeout) {
        markSuspected(engine, engine.groups.at(connection.group), *database, "no answer to values or a role check", now);
    }
}

} // namespace mustardrouter::proxying
