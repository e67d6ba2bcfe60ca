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
    scheduleTimer(engine, running.replyDueAt, timer_kind::session, session.id.value());
}

} // namespace

void sendAutocommit(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    running_statement &running = *session.current;
    std::vector<reply_purpose> purposes;
    std::vector<database_command> commands = prepareStatement(connection, session, purposes);
    running.primaryCheckedAfter = false;
    running.primaryCheckedBefore = now - connection.primaryCheckedAt <= primaryCheckValidFor;
    if (running.needsPrimaryCheck) {
        if (!running.primaryCheckedBefore) {
            commands.insert(commands.begin(), {ownCommand(command_kind::begin), ownCommand(command_kind::rollback)});
            purposes.insert(purposes.begin(), {reply_purpose::primaryCheck, reply_purpose::primaryCheckEnd});
        }
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
    session.transaction->statements += 1;
    session.current->floor.reset();
    session.current->needsPrimaryCheck = false;
    std::vector<reply_purpose> purposes;
    std::vector<database_command> commands = prepareStatement(connection, session, purposes);
    recordSent(engine, session, connection, now);
    sendOn(engine, connection, std::move(commands), purposes, now);
}

} // namespace mustardrouter::proxying
