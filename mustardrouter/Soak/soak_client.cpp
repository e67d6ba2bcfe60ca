#include "mustardrouter/Soak/soak_client.h"

#include "mustardrouter/Network/tcp_options.h"

#include <utility>

namespace mustardrouter
{

namespace
{

/// Answers are due within the route's timeout (1 s); the users' clients wait at least this long.
constexpr auto replyTimeout = std::chrono::seconds(4);
/// Pause between operations.
constexpr std::uint64_t minThinkTimeMicros = 2'000;
constexpr std::uint64_t thinkTimeSpreadMicros = 40'000;
/// Pause before a client reconnects.
constexpr std::uint64_t minReconnectMicros = 50'000;
constexpr std::uint64_t reconnectSpreadMicros = 300'000;
/// Statements of a transaction between its begin and its end.
constexpr std::uint64_t maxStatementsInTransaction = 4;
constexpr std::uint64_t percent = 100;

std::string textOf(const client_statement &statement)
{
    switch (statement.verb) {
    case client_verb::begin:
        return "BEGIN";
    case client_verb::beginRead:
        return "BEGIN READ";
    case client_verb::commit:
        return "COMMIT";
    case client_verb::rollback:
        return "ROLLBACK";
    case client_verb::read:
        return "READ " + statement.value;
    case client_verb::write:
        return "WRITE " + statement.value;
    case client_verb::setValue:
        return "SET " + statement.name + " " + statement.value;
    case client_verb::prepare:
        return "PREPARE " + statement.name + (statement.writes ? " WRITE " : " READ ") + statement.value;
    case client_verb::execute:
        return "EXECUTE " + statement.name + " " + statement.value;
    default:
        return "DEALLOCATE " + statement.name;
    }
}

} // namespace

soak_client::soak_client(client_environment environment, std::size_t number, std::uint64_t seed)
    : m_environment(std::move(environment))
    , m_number(number)
    , m_name("c" + std::to_string(number + 1))
    , m_key(m_name)
    , m_random(seed)
    , m_timer(*m_environment.context)
    , m_replyTimer(*m_environment.context)
{
}

void soak_client::start()
{
    connect();
}

void soak_client::stop()
{
    m_stopping = true;
    if (!m_awaitsReply && m_steps.empty()) {
        onEnd();
    }
}

bool soak_client::isDone() const
{
    return m_done;
}

void soak_client::callAfter(duration wait, void (soak_client::*then)())
{
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this(), then](const asio::error_code &problem) {
        if (!problem) {
            ((*self).*then)();
        }
    });
}

void soak_client::connect()
{
    if (m_stopping) {
        m_done = true;
        return;
    }
    m_instance = m_environment.chooseInstance();
    m_route = (*m_environment.routes)[m_random() % m_environment.routes->size()];
    if (m_environment.workspaces != nullptr) {
        m_key = m_environment.workspaces->chooseKey(m_number, m_random);
    }
    m_connectedAt = m_environment.now();
    m_session = m_environment.history->addSession();
    m_preparedStatements.clear();
    m_assembler = {};
    m_steps.clear();
    m_started = false;
    m_awaitsReply = false;
    m_inTransaction = false;
    line_stream::handlers callbacks;
    callbacks.onLine = [this](std::string_view line) {
        onLine(line);
    };
    callbacks.onEnd = [this](close_reason) {
        onEnd();
    };
    m_stream = std::make_shared<line_stream>(asio::ip::tcp::socket(*m_environment.context), platform::maxLineBytes, std::move(callbacks));
    m_stream->connect(endpointOrUnspecified(m_environment.addressOf(m_instance)), "STARTUP " + m_route.name + " " + m_key + "\r\n");
    startReplyTimer();
}

void soak_client::reconnect()
{
    m_replyTimer.cancel();
    m_stream->close();
    m_steps.clear();
    if (m_stopping) {
        m_done = true;
        return;
    }
    callAfter(std::chrono::microseconds(minReconnectMicros + m_random() % reconnectSpreadMicros), &soak_client::connect);
}

void soak_client::startReplyTimer()
{
    m_replyTimer.expires_after(replyTimeout);
    m_replyTimer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        if (self->m_awaitsReply) {
            self->m_environment.history->onGivenUp(self->m_sent.clientStatement.id);
            self->m_environment.tally->unanswered.push_back(
                {self->m_sent.clientStatement.id, self->m_instance, self->m_sent.sentAt, self->m_environment.now()});
            self->m_awaitsReply = false;
            self->endOperation(false);
        }
        self->reconnect();
    });
}

void soak_client::onEnd()
{
    if (m_awaitsReply) {
        m_environment.history->onGivenUp(m_sent.clientStatement.id);
        m_environment.tally->disconnected.push_back({m_sent.clientStatement.id, m_instance, m_sent.sentAt, m_environment.now()});
        m_awaitsReply = false;
        endOperation(false);
    } else if (!m_steps.empty()) {
        endOperation(false);
    }
    reconnect();
}

void soak_client::onUnknownKey()
{
    const time_point now = m_environment.now();
    const time_point sentAt = m_awaitsReply ? m_sent.sentAt : m_connectedAt;
    m_environment.tally->answers["unknown_key"] += 1;
    const std::string violation = m_environment.workspaces->onUnknownKey(m_key, m_route.isPublic, sentAt, now);
    if (!violation.empty()) {
        m_environment.history->reportViolation(violation);
    }
    if (m_awaitsReply) {
        m_environment.history->onGivenUp(m_sent.clientStatement.id);
        m_awaitsReply = false;
        endOperation(false);
    }
    reconnect();
}

void soak_client::onLine(std::string_view line)
{
    std::optional<database_reply> reply = platform::assemble(m_assembler, line);
    if (m_environment.workspaces != nullptr && m_assembler.reply.code == reply_code::unauthorized) {
        onUnknownKey();
        return;
    }
    if (m_assembler.broken) {
        m_environment.history->reportViolation("MIXED: a client got '" + std::string(line.substr(0, 80)) + "'");
        reconnect();
        return;
    }
    if (!m_started) {
        if (reply) {
            m_started = true;
            m_replyTimer.cancel();
            scheduleOperation();
        }
        return;
    }
    if (!reply) {
        return;
    }
    if (!m_awaitsReply) {
        m_environment.history->reportViolation("MIXED: a client got an answer without an outstanding statement");
        reconnect();
        return;
    }
    m_replyTimer.cancel();
    onReply(*reply);
}

void soak_client::scheduleOperation()
{
    constexpr std::uint64_t busyFactor = 10;
    const bool busy = m_environment.workspaces != nullptr && m_environment.workspaces->isBusy(m_key);
    const std::uint64_t spread = thinkTimeSpreadMicros / (busy ? busyFactor : 1);
    callAfter(std::chrono::microseconds(minThinkTimeMicros + m_random() % spread), &soak_client::beginOperation);
}

client_statement soak_client::make(client_verb verb, const std::string &rest)
{
    client_statement statement;
    statement.verb = verb;
    statement.id = m_name + "-" + std::to_string(m_nextStatement++);
    statement.value = rest;
    return statement;
}

std::vector<client_statement> soak_client::makeOperation()
{
    const std::string item = std::to_string(m_random() % percent);
    const std::string data = item + " data" + std::to_string(m_random() % percent);
    const std::uint64_t draw = m_random() % percent;
    const std::string name = "n" + std::to_string(m_random() % 3);
    if (draw < 40) {
        return {make(client_verb::read, item)};
    }
    if (draw < 58) {
        return {make(client_verb::write, data)};
    }
    if (draw < 63) {
        client_statement set = make(client_verb::setValue, "value" + item);
        set.name = name;
        return {set};
    }
    if (draw < 75) {
        const bool writes = m_random() % 3 == 0;
        client_statement prepare = make(client_verb::prepare, "shape" + std::to_string(m_random() % 4));
        prepare.name = name;
        prepare.writes = writes;
        client_statement execute = make(client_verb::execute, writes ? data : item);
        execute.name = name;
        return {prepare, execute};
    }
    std::vector<client_statement> steps;
    const bool reads = m_random() % 3 == 0;
    steps.push_back(make(reads ? client_verb::beginRead : client_verb::begin));
    const std::uint64_t count = 1 + m_random() % maxStatementsInTransaction;
    for (std::uint64_t index = 0; index < count; ++index) {
        const bool writes = !reads && m_random() % 2 == 0;
        steps.push_back(writes ? make(client_verb::write, data) : make(client_verb::read, item));
    }
    steps.push_back(make(m_random() % 5 == 0 ? client_verb::rollback : client_verb::commit));
    return steps;
}

void soak_client::beginOperation()
{
    if (m_stopping) {
        m_stream->close();
        m_done = true;
        return;
    }
    m_steps = makeOperation();
    m_step = 0;
    m_attempt = m_environment.history->addAttempt();
    m_operationStartedAt = m_environment.now();
    m_wrote = false;
    m_failed = false;
    send();
}

void soak_client::send()
{
    client_statement statement = m_steps[m_step];
    statement.text = textOf(statement);
    const time_point now = m_environment.now();
    if (statement.verb == client_verb::begin || statement.verb == client_verb::beginRead) {
        m_transactionStartedAt = now;
    }
    m_sent = {};
    m_sent.clientStatement = statement;
    m_sent.session = m_session;
    m_sent.attempt = m_attempt;
    m_sent.sentAt = now;
    m_sent.startedAt = m_inTransaction ? m_transactionStartedAt : now;
    m_sent.rule = m_route.sessionRoute.rule;
    m_sent.maxAge = m_route.sessionRoute.maxAge;
    m_sent.group = m_route.sessionRoute.group;
    m_sent.routeMoves = m_route.moves;
    m_sent.statementText = statement.verb == client_verb::execute ? m_preparedStatements[statement.name] : std::string();
    m_sent.inTransaction = m_inTransaction;
    m_sent.wrote = m_wrote;
    m_sent.key = m_key;
    m_sent.routeIsPublic = m_route.isPublic;
    m_environment.history->onSent(m_sent);
    m_awaitsReply = true;
    startReplyTimer();
    m_stream->out() += "QUERY " + statement.id + " " + statement.text + "\r\n";
    m_stream->flush();
}

void soak_client::onReply(const database_reply &reply)
{
    m_awaitsReply = false;
    m_environment.history->onAnswer(m_sent.clientStatement.id, reply, m_environment.now());
    m_environment.tally->answers[std::string(toString(reply.code))] += 1;
    const client_statement &statement = m_sent.clientStatement;
    const bool done = reply.code == reply_code::done;
    if (!done && statement.verb == client_verb::read && !m_sent.inTransaction) {
        m_environment.tally->refusedReads.push_back({statement.id, m_instance, m_sent.sentAt, std::string(toString(reply.code))});
    }
    if (done && statement.verb == client_verb::setValue) {
        m_environment.history->onValueSet(m_session, statement.name, statement.value);
    } else if (done && statement.verb == client_verb::prepare) {
        m_preparedStatements[statement.name] = (statement.writes ? "WRITE " : "READ ") + statement.value;
    } else if (done && (statement.verb == client_verb::begin || statement.verb == client_verb::beginRead)) {
        m_inTransaction = true;
    } else if (done && statement.verb == client_verb::write && m_inTransaction) {
        m_wrote = true;
    }
    m_failed = m_failed || !done;
    const bool ends = statement.verb == client_verb::commit || statement.verb == client_verb::rollback;
    if (ends || reply.state == transaction_state::none) {
        if (ends && reply.state != transaction_state::none) {
            m_environment.history->reportViolation("PINNED: " + statement.id + " ended a transaction, but the session is still in one");
        }
        m_inTransaction = false;
    }
    if (m_failed && m_inTransaction) {
        // A failed transaction accepts only a rollback.
        m_steps = {make(client_verb::rollback)};
        m_step = 0;
        send();
        return;
    }
    m_step += 1;
    if (m_failed || m_step >= m_steps.size()) {
        endOperation(!m_failed);
        // Long enough that many sessions are open when their key is withdrawn, and for longer than it may be served.
        const std::uint64_t percentLeaving = m_route.isPublic ? 10 : 1;
        if (m_environment.workspaces != nullptr && m_random() % percent < percentLeaving) {
            // Otherwise all clients would end up where they need no key.
            reconnect();
            return;
        }
        scheduleOperation();
        return;
    }
    send();
}

void soak_client::endOperation(bool served)
{
    m_steps.clear();
    const time_point now = m_environment.now();
    const bool owed = m_environment.workspaces == nullptr || m_environment.workspaces->isOwed(m_key, m_operationStartedAt, now);
    m_environment.tally->operations.push_back({m_operationStartedAt, now, served, owed});
}

} // namespace mustardrouter
