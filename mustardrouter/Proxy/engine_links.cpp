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

/// More prepared statements than this on one connection are dropped at its next change of session.
constexpr std::size_t preparedPerLink = 200;
/// A statement is tried at most so often.
constexpr std::uint32_t maxAttempts = 8;

database_state *databaseOf(proxy_engine &engine, const database_connection &connection)
{
    const auto group = engine.groups.find(connection.group);
    if (group == engine.groups.end()) {
        return nullptr;
    }
    const auto found = group->second.databases.find(connection.database);
    return found == group->second.databases.end() ? nullptr : &found->second;
}

client_session *sessionOf(proxy_engine &engine, const database_connection &connection)
{
    const auto found = engine.sessions.find(connection.session);
    return found == engine.sessions.end() ? nullptr : &found->second;
}

/// Arms the look at a connection that has become idle.
void armIdleCheck(proxy_engine &engine, const database_connection &connection, time_point now)
{
    const database_state *database = databaseOf(engine, connection);
    if (database != nullptr) {
        const duration span = idleTimeoutOf(budgetOf(engine, engine.groups.at(connection.group), *database, now));
        arm(engine, now + std::min(span, engine.settings.connectionCountValidFor), timer_kind::connection, connection.id.value());
    }
}

client_reply toClient(const database_reply &reply)
{
    client_reply answer;
    answer.code = reply.code;
    answer.rows = reply.rows;
    answer.signature = reply.signature;
    answer.detail = reply.detail;
    answer.position = reply.position;
    return answer;
}

std::string textOf(const std::optional<log_entry> &entry)
{
    return entry ? std::to_string(entry->term.value()) + "." + std::to_string(entry->position.value()) : std::string("-");
}

/// Tries the statement again on another connection, after `pause`.
void retry(proxy_engine &engine, client_session &session, const database_name &from, const char *why, duration pause, time_point now)
{
    running_statement &run = *session.current;
    engine.counters.retries += 1;
    tell(engine,
         "statement_retried",
         {{"request", run.what.id},
          {"from", from.value()},
          {"why", why},
          {"attempts", std::to_string(run.attempts)},
          {"after_ms", inMillis(now - run.arrivedAt)}});
    if (run.attempts >= maxAttempts) {
        refuseStatement(engine, session, reply_code::busy, why, now);
        return;
    }
    run.notBefore = now + pause;
    seekLink(engine, session, now);
    const group_state *group = groupOf(engine, session);
    if (pause > duration{} && group != nullptr) {
        arm(engine, run.notBefore, timer_kind::pump, 0, group->name);
    }
}

/// Pause before a database that is full is asked again: none at first when another may have room.
duration pauseWhenFull(const proxy_engine &engine, const running_statement &run)
{
    constexpr std::uint32_t mostDoublings = 2;
    if (!run.writes && !run.needsProof && run.overloadRefusals <= 1) {
        return {};
    }
    return engine.settings.overloadBackoff * (1 << std::min(run.overloadRefusals - 1, mostDoublings));
}

void inDoubt(proxy_engine &engine, client_session &session, const database_name &from, const char *why, time_point now)
{
    engine.counters.inDoubt += 1;
    tellInDoubt(engine, session, from, why);
    if (session.transaction) {
        dropTransaction(engine, session, transaction_state::none, now);
    }
    client_reply reply;
    reply.code = reply_code::inDoubt;
    reply.detail = why;
    answerStatement(engine, session, std::move(reply), now);
}

/// Whether the answer to a read is as fresh as its rule demands.
bool isFreshEnough(const running_statement &run, const database_reply &reply)
{
    if (run.needsProof) {
        return run.proved && run.provedBefore;
    }
    return !run.floor || (reply.position && *reply.position >= *run.floor);
}

/// Smooths the time that reads of the session's route take, and that of the group's reads.
void noteWork(proxy_engine &engine, group_state &group, const client_session &session, duration took)
{
    constexpr double weight = 0.05;
    const auto micros = static_cast<double>(took.count());
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
                   database_reply reply,
                   time_point now)
{
    running_statement &run = *session.current;
    if (!isFreshEnough(run, reply)) {
        run.excludedDatabases.push_back(connection.database);
        retry(engine, session, connection.database, run.needsProof ? "lead not proved" : "log of another term", {}, now);
        return;
    }
    if (database_state *database = databaseOf(engine, connection)) {
        // What was let in may have waited here for a connection: the database has no room for it either way.
        const bool waited = group.primary == connection.database && run.admittedAt != time_point{};
        recordReadTime(*database, now - (waited ? run.admittedAt : run.sentAt), now);
        noteWork(engine, group, session, now - run.sentAt);
    }
    const bool ownRolledBack =
        session.ownCommits && reply.position && (*reply.position < *session.ownCommits || reply.position->term > session.ownCommits->term);
    if (run.needsProof && ownRolledBack) {
        // What the session had written beyond the log of a primary that leads is gone: its floor would block for ever.
        session.ownCommits = reply.position;
    }
    (group.primary == connection.database ? engine.counters.primaryReads : engine.counters.replicaReads) += 1;
    answerStatement(engine, session, toClient(reply), now);
}

void writeSucceeded(
    proxy_engine &engine, group_state &group, const database_name &by, client_session &session, const database_reply &reply, time_point now)
{
    noteLead(engine, group, by, reply.position, session.current->sentAt, now);
    session.ownCommits = reply.position;
    answerStatement(engine, session, toClient(reply), now);
}

void singleRefused(proxy_engine &engine,
                   group_state &group,
                   database_connection &connection,
                   client_session &session,
                   const database_reply &reply,
                   time_point now)
{
    running_statement &run = *session.current;
    database_state *database = databaseOf(engine, connection);
    switch (reply.code) {
    case reply_code::busy:
        if (database != nullptr) {
            recordOverload(*database, now);
            run.overloadRefusals += 1;
        }
        retry(engine, session, connection.database, "database full", pauseWhenFull(engine, run), now);
        return;
    case reply_code::lagging:
        group.laggedAt = now;
        if (database != nullptr && run.floor) {
            recordMissingEntry(*database, *run.floor, now);
        }
        tell(engine,
             "replica_lags",
             {{"request", run.what.id},
              {"database", connection.database.value()},
              {"floor", textOf(run.floor)},
              {"position", textOf(reply.position)}});
        run.excludedDatabases.push_back(connection.database);
        retry(engine, session, connection.database, "replica lags", {}, now);
        return;
    case reply_code::readOnly:
        noteNotLead(engine, group, connection.database, now);
        retry(engine, session, connection.database, "not the primary", {}, now);
        return;
    case reply_code::unknownStatement:
        connection.valuesUncertain = true;
        retry(engine, session, connection.database, "prepared statement lost", {}, now);
        return;
    case reply_code::failed:
    case reply_code::timedOut:
        if (!run.writes) {
            run.excludedDatabases.push_back(connection.database);
            retry(engine, session, connection.database, "database failed the read", {}, now);
            return;
        }
        break;
    default:
        break;
    }
    answerStatement(engine, session, toClient(reply), now);
}

void finishSingle(proxy_engine &engine, database_connection &connection, client_session &session, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    running_statement &run = *session.current;
    database_reply reply = std::move(*run.answer);
    run.answer.reset();
    run.connection = database_connection_id{};
    connection.session = session_id{};
    connection.state = database_connection_state::idle;
    connection.since = now;
    armIdleCheck(engine, connection, now);
    engine.unsettled.insert(connection.group);
    if (reply.code != reply_code::done) {
        singleRefused(engine, group, connection, session, reply, now);
    } else if (run.writes) {
        writeSucceeded(engine, group, connection.database, session, reply, now);
    } else {
        readSucceeded(engine, group, connection, session, std::move(reply), now);
    }
}

void transactionBegun(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    client_transaction &transaction = *session.transaction;
    group_state &group = engine.groups.at(connection.group);
    const bool behind = transaction.floor && (!reply.position || *reply.position < *transaction.floor);
    if (reply.code == reply_code::done && reply.state == transaction_state::open && !behind) {
        transaction.phase = transaction_phase::ready;
        if (!transaction.floor) {
            noteLead(engine, group, connection.database, reply.position, connection.since, now);
        }
        if (session.current) {
            sendInTransaction(engine, session, now);
        }
        return;
    }
    if (reply.code == reply_code::readOnly) {
        noteNotLead(engine, group, connection.database, now);
    } else {
        group.laggedAt = reply.code == reply_code::lagging ? now : group.laggedAt;
        transaction.excludedDatabases.push_back(connection.database);
    }
    connection.inTransaction = reply.state != transaction_state::none;
    const database_connection_id held = std::exchange(transaction.connection, database_connection_id{});
    transaction.phase = transaction_phase::waitsForLink;
    releaseLink(engine, held, now);
    seekLink(engine, session, now);
}

void commitAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    const bool wrote = session.transaction->wrote;
    if (reply.code == reply_code::done) {
        connection.inTransaction = false;
        if (wrote) {
            noteLead(engine, group, connection.database, reply.position, session.current->sentAt, now);
            session.ownCommits = reply.position;
        }
        dropTransaction(engine, session, transaction_state::none, now);
        answerStatement(engine, session, toClient(reply), now);
        return;
    }
    if (reply.code == reply_code::readOnly) {
        noteNotLead(engine, group, connection.database, now);
    }
    if (wrote && !saysNotRun(reply.code)) {
        inDoubt(engine, session, connection.database, "the commit failed", now);
        return;
    }
    refuseStatement(engine, session, reply.code == reply_code::readOnly ? reply.code : reply_code::aborted, "the commit was refused", now);
}

void transactionAnswered(
    proxy_engine &engine, database_connection &connection, client_session &session, const database_reply &reply, time_point now)
{
    group_state &group = engine.groups.at(connection.group);
    running_statement &run = *session.current;
    if (reply.code == reply_code::busy && reply.state == transaction_state::open) {
        engine.counters.retries += 1;
        run.overloadRefusals += 1;
        if (database_state *database = databaseOf(engine, connection)) {
            recordOverload(*database, now);
        }
        run.notBefore = now + pauseWhenFull(engine, run);
        arm(engine, run.notBefore, timer_kind::connection, connection.id.value());
        return;
    }
    if (run.what.verb == client_verb::commit) {
        commitAnswered(engine, connection, session, reply, now);
        return;
    }
    if (reply.code == reply_code::done) {
        session.transaction->wrote = session.transaction->wrote || run.writes;
        if (!session.transaction->floor) {
            noteLead(engine, group, connection.database, reply.position, run.sentAt, now);
        }
        answerStatement(engine, session, toClient(reply), now);
        return;
    }
    if (reply.code == reply_code::readOnly) {
        noteNotLead(engine, group, connection.database, now);
    }
    const bool clientsFault = reply.code == reply_code::malformed || reply.code == reply_code::tooLarge;
    refuseStatement(
        engine, session, saysNotRun(reply.code) || clientsFault ? reply.code : reply_code::aborted, "refused inside a transaction", now);
}

/// Everything that the packet asked for is answered.
void linkAnswered(proxy_engine &engine, database_connection &connection, time_point now)
{
    client_session *session = sessionOf(engine, connection);
    if (session == nullptr) {
        if (connection.inTransaction) {
            releaseLink(engine, connection.id, now);
            return;
        }
        const bool rested = connection.state == database_connection_state::idle;
        connection.state = database_connection_state::idle;
        connection.session = session_id{};
        if (!rested) {
            connection.since = now;
            armIdleCheck(engine, connection, now);
        }
        engine.unsettled.insert(connection.group);
        return;
    }
    if (connection.state == database_connection_state::held) {
        if (session->current && session->current->answer) {
            const database_reply reply = std::move(*session->current->answer);
            session->current->answer.reset();
            transactionAnswered(engine, connection, *session, reply, now);
        }
        return;
    }
    if (session->current && session->current->connection == connection.id && session->current->answer) {
        finishSingle(engine, connection, *session, now);
    }
}

void proofAnswered(proxy_engine &engine,
                   group_state &group,
                   database_connection &connection,
                   const database_reply &reply,
                   time_point asked,
                   time_point now)
{
    const bool leads = reply.code == reply_code::done && reply.state == transaction_state::open;
    client_session *session = sessionOf(engine, connection);
    if (session != nullptr && session->current && session->current->connection == connection.id) {
        bool &proved = session->current->answer ? session->current->proved : session->current->provedBefore;
        proved = leads;
    }
    if (leads) {
        connection.provedAt = asked;
        noteLead(engine, group, connection.database, reply.position, asked, now);
    } else if (reply.code == reply_code::readOnly) {
        noteNotLead(engine, group, connection.database, now);
    }
}

void statusAnswered(database_state &database, const database_reply &reply, time_point asked)
{
    if (!reply.status) {
        return;
    }
    const bool grew = !database.status || reply.status->received > database.status->received;
    if (grew) {
        database.logGrewAt = asked;
    }
    database.status = reply.status;
    database.statusAt = asked;
    database.connectionsInUse = reply.status->connections;
    database.connectionsReportedAt = asked;
}

bool isWhole(const expected_reply &expected, const database_reply &reply)
{
    if (reply.code != reply_code::done) {
        return true;
    }
    const bool isSigned = !reply.signature.empty();
    return isSigned == (expected.part == reply_part::statement);
}

/// Closes a connection that has been idle too long for what is taken of the database's; asks how many
/// are taken when that is not known any more.
void checkIdle(proxy_engine &engine, database_connection &connection, time_point now)
{
    const database_state *database = databaseOf(engine, connection);
    if (database == nullptr) {
        discardLink(engine, connection.id);
        return;
    }
    const duration span = idleTimeoutOf(budgetOf(engine, engine.groups.at(connection.group), *database, now));
    const duration rested = now - connection.since;
    // All that hear of a shortage at the same time must not close at the same time: each asks again, and decides
    // by what is left by then.
    const bool due = rested >= span;
    const duration age = now - database->connectionsReportedAt;
    const bool fresh = age <= engine.settings.connectionCountFreshFor;
    if (due && fresh) {
        discardLink(engine, connection.id);
        return;
    }
    const bool outdated = due || age > engine.settings.connectionCountValidFor * 3;
    if (outdated && connection.expected.empty()) {
        ask(engine, connection, question{false, true, {}, false}, now);
    }
    const auto spread = static_cast<std::uint64_t>(engine.settings.connectionCountFreshFor.count());
    const duration next = due ? duration(static_cast<std::int64_t>(spread / 4 + engine.random() % spread))
                              : std::min(span - rested, engine.settings.connectionCountValidFor);
    arm(engine, now + next, timer_kind::connection, connection.id.value());
}

/// What becomes of the statement or transaction of a link that is gone.
void lostLink(proxy_engine &engine, client_session &session, const database_connection &gone, time_point now)
{
    if (session.transaction && session.transaction->connection == gone.id) {
        session.transaction->connection = database_connection_id{};
        if (session.transaction->phase == transaction_phase::beginning) {
            // No statement of the client has run: the transaction begins elsewhere.
            session.transaction->phase = transaction_phase::waitsForLink;
            seekLink(engine, session, now);
            return;
        }
        if (!session.current) {
            dropTransaction(engine, session, transaction_state::failed, now);
            return;
        }
        if (session.current->what.verb == client_verb::commit && session.transaction->wrote) {
            inDoubt(engine, session, gone.database, "connection lost at the commit", now);
            return;
        }
        refuseStatement(engine, session, reply_code::aborted, "connection lost inside a transaction", now);
        return;
    }
    if (!session.current || session.current->connection != gone.id) {
        return;
    }
    session.current->connection = database_connection_id{};
    if (session.current->writes) {
        inDoubt(engine, session, gone.database, "connection lost after the write was sent", now);
        return;
    }
    retry(engine, session, gone.database, "connection lost", {}, now);
}

void forgetLink(proxy_engine &engine, database_connection_id id)
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
    if (database_state *database = databaseOf(engine, connection)) {
        database->lastReplyAt = now;
        if (now - database->connectionsReportedAt > engine.settings.connectionCountValidFor) {
            ask(engine, connection, question{false, true, {}, false}, now);
        }
    }
    armIdleCheck(engine, connection, now);
    engine.unsettled.insert(connection.group);
    settle(engine, now);
}

void onConnectionRefused(proxy_engine &engine, database_connection_id id, reply_code code, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    engine.counters.connectionsRefused += 1;
    tell(engine, "connection_refused", {{"to", found->second.database.value()}, {"code", std::string(toString(code))}});
    const group_name group = found->second.group;
    if (database_state *database = databaseOf(engine, found->second)) {
        database->openNotBefore = now + engine.settings.openBackoff;
        arm(engine, database->openNotBefore, timer_kind::pump, 0, group);
        if (code == reply_code::tooManyConnections) {
            database->connectionsInUse = engine.groups.at(group).limits.connections;
            database->connectionsReportedAt = now;
        }
    }
    forgetLink(engine, id);
    settle(engine, now);
}

void onConnectionClosed(proxy_engine &engine, database_connection_id id, time_point now)
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
            arm(engine, database->openNotBefore, timer_kind::pump, 0, group.name);
        }
        suspect(engine, group, *database, "connection lost", now);
    }
    forgetLink(engine, id);
    if (client_session *session = sessionOf(engine, connection)) {
        lostLink(engine, *session, connection, now);
    }
    settle(engine, now);
}

void onDatabaseReply(proxy_engine &engine, database_connection_id id, database_reply reply, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    database_connection &connection = found->second;
    const bool asked = !connection.expected.empty();
    if (!asked || !isWhole(connection.expected.front(), reply)) {
        // An answer to nothing, or to something else: none of this connection's answers can be told apart any more.
        tell(engine, "answer_out_of_order", {{"database", connection.database.value()}, {"expected", asked ? "another" : "none"}});
        engine.actions.emplace_back(close_database_connection{id});
        onConnectionClosed(engine, id, now);
        return;
    }
    const expected_reply expected = connection.expected.front();
    connection.expected.pop_front();
    group_state &group = engine.groups.at(connection.group);
    if (database_state *database = databaseOf(engine, connection)) {
        database->lastReplyAt = now;
        if (database->suspectedSince != time_point{}) {
            tell(engine,
                 "database_trusted",
                 {{"database", connection.database.value()}, {"silent_ms", inMillis(now - database->suspectedSince)}});
            database->suspectedSince = time_point{};
            engine.unsettled.insert(group.name);
        }
        if (expected.part == reply_part::status) {
            statusAnswered(*database, reply, expected.sentAt);
            if (reply.status && reply.status->primary && reply.status->term >= group.primaryTerm) {
                assumeLead(engine, group, connection.database, "status", now);
            }
        }
    }
    client_session *session = sessionOf(engine, connection);
    switch (expected.part) {
    case reply_part::setup:
        if (reply.code != reply_code::done) {
            tell(engine, "setup_refused", {{"database", connection.database.value()}, {"code", std::string(toString(reply.code))}});
            connection.valuesUncertain = true;
        }
        break;
    case reply_part::proof:
        proofAnswered(engine, group, connection, reply, expected.sentAt, now);
        break;
    case reply_part::statement:
        if (session != nullptr && session->current) {
            session->current->answer = std::move(reply);
        }
        break;
    case reply_part::begin:
        if (session != nullptr && session->transaction) {
            connection.since = expected.sentAt;
            transactionBegun(engine, connection, *session, reply, now);
        }
        break;
    case reply_part::cleanup:
        connection.inTransaction = false;
        break;
    case reply_part::proofEnd:
    case reply_part::status:
        break;
    }
    const auto still = engine.connections.find(id);
    if (still != engine.connections.end() && still->second.expected.empty() && expected.part != reply_part::begin) {
        linkAnswered(engine, still->second, now);
    }
    settle(engine, now);
}

namespace proxying
{

void ask(proxy_engine &engine, database_connection &connection, const question &what, time_point now)
{
    std::vector<database_command> commands;
    std::vector<reply_part> parts;
    const auto add = [&](command_kind kind, reply_part part) {
        database_command command;
        command.kind = kind;
        command.term = what.pauseAt;
        commands.push_back(command);
        parts.push_back(part);
    };
    if (what.proof) {
        add(command_kind::begin, reply_part::proof);
        add(command_kind::rollback, reply_part::proofEnd);
        engine.counters.primaryChecks += 1;
    }
    if (what.status) {
        const bool pauses = what.pauseAt != term_number{};
        add(pauses ? command_kind::pause : what.resume ? command_kind::resume : command_kind::status, reply_part::status);
    }
    sendOn(engine, connection, std::move(commands), parts, now);
    arm(engine, now + engine.settings.abandonedReplyTimeout, timer_kind::connection, connection.id.value());
}

database_connection &openLink(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    const database_connection_id id(engine.nextLink++);
    database_connection &connection = engine.connections[id];
    connection.id = id;
    connection.database = database.listed.name;
    connection.group = group.name;
    connection.since = now;
    database.connections.push_back(id);
    engine.counters.connectionsOpened += 1;
    engine.actions.emplace_back(open_database_connection{id, connection.database, group.name, database.listed.address});
    arm(engine, now + engine.settings.openTimeout, timer_kind::connection, id.value());
    return connection;
}

void sendOn(proxy_engine &engine,
            database_connection &connection,
            std::vector<database_command> commands,
            const std::vector<reply_part> &parts,
            time_point now)
{
    assert(commands.size() == parts.size());
    for (const reply_part part : parts) {
        connection.expected.push_back({part, now});
    }
    engine.actions.emplace_back(send_commands{connection.id, std::move(commands)});
}

void releaseLink(proxy_engine &engine, database_connection_id id, time_point now)
{
    const auto found = engine.connections.find(id);
    if (found == engine.connections.end()) {
        return;
    }
    database_connection &connection = found->second;
    connection.session = session_id{};
    connection.since = now;
    if (connection.prepared.size() > preparedPerLink) {
        connection.valuesUncertain = true;
    }
    if (connection.inTransaction) {
        // Values that were set inside may be rolled back with it.
        connection.valuesUncertain = connection.valuesUncertain || !connection.values.empty();
        connection.state = database_connection_state::busy;
        database_command rollback;
        rollback.kind = command_kind::rollback;
        connection.inTransaction = false;
        sendOn(engine, connection, {rollback}, {reply_part::cleanup}, now);
    }
    if (!connection.expected.empty()) {
        connection.state = database_connection_state::busy;
        const time_point asked = connection.expected.front().sentAt;
        arm(engine, std::max(now, asked + engine.settings.lostReplyTimeout), timer_kind::connection, id.value());
        arm(engine, now + engine.settings.abandonedReplyTimeout, timer_kind::connection, id.value());
        return;
    }
    connection.state = database_connection_state::idle;
    armIdleCheck(engine, connection, now);
    engine.unsettled.insert(connection.group);
}

void discardLink(proxy_engine &engine, database_connection_id id)
{
    engine.actions.emplace_back(close_database_connection{id});
    forgetLink(engine, id);
}

namespace
{

/// Whether the connection's answer is overdue though the database has answered what was asked later elsewhere.
bool hasLostAnswer(proxy_engine &engine, const database_connection &connection, time_point now)
{
    const database_state *database = databaseOf(engine, connection);
    const time_point asked = connection.expected.front().sentAt;
    const duration patience = engine.settings.lostReplyTimeout;
    return database != nullptr && now - asked >= patience && database->lastReplyAt >= asked + patience / 2;
}

} // namespace

void checkLink(proxy_engine &engine, database_connection &connection, time_point now)
{
    const bool opening = connection.state == database_connection_state::opening && now - connection.since >= engine.settings.openTimeout;
    const bool ownWork = connection.state == database_connection_state::idle
                         || (connection.state == database_connection_state::busy && connection.session == session_id{});
    const bool abandoned =
        ownWork && !connection.expected.empty() && now - connection.expected.front().sentAt >= engine.settings.abandonedReplyTimeout;
    const bool lost = ownWork && !connection.expected.empty() && hasLostAnswer(engine, connection, now);
    if (lost && !abandoned) {
        // The database is well: only this connection is given up.
        tell(engine,
             "answer_lost",
             {{"database", connection.database.value()}, {"asked_ms_ago", inMillis(now - connection.expected.front().sentAt)}});
        const group_name group = connection.group;
        discardLink(engine, connection.id);
        engine.unsettled.insert(group);
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
                           && session->current && session->transaction && session->transaction->connection == connection.id
                           && session->transaction->phase == transaction_phase::ready;
    if (sendAgain && now >= session->current->notBefore) {
        sendInTransaction(engine, *session, now);
    }
}

database_connection *findIdle(proxy_engine &engine, const database_state &database, const std::map<std::string, std::string> &values)
{
    database_connection *best = nullptr;
    for (const database_connection_id id : database.connections) {
        database_connection &connection = engine.connections.at(id);
        if (connection.state != database_connection_state::idle) {
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
