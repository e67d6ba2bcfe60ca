#include "mustardrouter/Soak/soak_client.h"

#include "mustardrouter/Network/socket_liveness.h"

#include <utility>

namespace mustardrouter
{

namespace
{

/// A statement's answer is due within the route's limit (1 s); a client of the users' waits at least so long.
constexpr auto patience = std::chrono::seconds(4);
/// Pauses between operations, in microseconds.
constexpr std::uint64_t leastThinkMicros = 2'000;
constexpr std::uint64_t thinkSpreadMicros = 40'000;
/// Before a client connects anew.
constexpr std::uint64_t leastReconnectMicros = 50'000;
constexpr std::uint64_t reconnectSpreadMicros = 300'000;
/// A transaction has up to so many statements between its begin and its end.
constexpr std::uint64_t mostInTransaction = 4;
constexpr std::uint64_t percent = 100;

std::string textOf(const client_statement &what)
{
    switch (what.verb) {
    case client_verb::begin:
        return "BEGIN";
    case client_verb::beginRead:
        return "BEGIN READ";
    case client_verb::commit:
        return "COMMIT";
    case client_verb::rollback:
        return "ROLLBACK";
    case client_verb::read:
        return "READ " + what.value;
    case client_verb::write:
        return "WRITE " + what.value;
    case client_verb::setValue:
        return "SET " + what.name + " " + what.value;
    case client_verb::prepare:
        return "PREPARE " + what.name + (what.writes ? " WRITE " : " READ ") + what.value;
    case client_verb::execute:
        return "EXECUTE " + what.name + " " + what.value;
    default:
        return "DEALLOCATE " + what.name;
    }
}

} // namespace

soak_client::soak_client(surroundings around, std::string name, std::uint64_t seed)
    : m_around(std::move(around))
    , m_name(std::move(name))
    , m_random(seed)
    , m_timer(*m_around.context)
    , m_patience(*m_around.context)
{
}

void soak_client::start()
{
    connect();
}

void soak_client::stop()
{
    m_stopping = true;
    if (!m_waits && m_steps.empty()) {
        onEnd();
    }
}

bool soak_client::isDone() const
{
    return m_done;
}

void soak_client::later(duration wait, void (soak_client::*then)())
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
    m_instance = m_around.chooseInstance();
    m_route = (*m_around.routes)[m_random() % m_around.routes->size()];
    m_session = m_around.history->addSession();
    m_shapes.clear();
    m_assembler = {};
    m_steps.clear();
    m_started = false;
    m_waits = false;
    m_inTransaction = false;
    line_stream::handlers callbacks;
    callbacks.onLine = [this](std::string_view line) {
        onLine(line);
    };
    callbacks.onEnd = [this](close_reason) {
        onEnd();
    };
    m_stream = std::make_shared<line_stream>(asio::ip::tcp::socket(*m_around.context), platform::maxLineBytes, std::move(callbacks));
    m_stream->connect(endpointOrUnspecified(m_around.addressOf(m_instance)), "STARTUP " + m_route.name + " " + m_name + "\r\n");
    armPatience();
}

void soak_client::reconnect()
{
    m_patience.cancel();
    m_stream->close();
    m_steps.clear();
    if (m_stopping) {
        m_done = true;
        return;
    }
    later(std::chrono::microseconds(leastReconnectMicros + m_random() % reconnectSpreadMicros), &soak_client::connect);
}

void soak_client::armPatience()
{
    m_patience.expires_after(patience);
    m_patience.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        if (self->m_waits) {
            self->m_around.history->onGivenUp(self->m_sent.what.id);
            self->m_around.tally->unanswered.push_back({self->m_sent.what.id, self->m_instance, self->m_sent.sentAt, self->m_around.now()});
            self->m_waits = false;
            self->endOperation(false);
        }
        self->reconnect();
    });
}

void soak_client::onEnd()
{
    if (m_waits) {
        m_around.history->onGivenUp(m_sent.what.id);
        m_around.tally->cuts.push_back({m_sent.what.id, m_instance, m_sent.sentAt, m_around.now()});
        m_waits = false;
        endOperation(false);
    } else if (!m_steps.empty()) {
        endOperation(false);
    }
    reconnect();
}

void soak_client::onLine(std::string_view line)
{
    std::optional<database_reply> reply = platform::assemble(m_assembler, line);
    if (m_assembler.broken) {
        m_around.history->breakPromise("MIXED: a client got '" + std::string(line.substr(0, 80)) + "'");
        reconnect();
        return;
    }
    if (!m_started) {
        if (reply) {
            m_started = true;
            m_patience.cancel();
            think();
        }
        return;
    }
    if (!reply) {
        return;
    }
    if (!m_waits) {
        m_around.history->breakPromise("MIXED: a client got an answer though it waited for none");
        reconnect();
        return;
    }
    m_patience.cancel();
    answered(*reply);
}

void soak_client::think()
{
    later(std::chrono::microseconds(leastThinkMicros + m_random() % thinkSpreadMicros), &soak_client::beginOperation);
}

client_statement soak_client::make(client_verb verb, const std::string &rest)
{
    client_statement what;
    what.verb = verb;
    what.id = m_name + "-" + std::to_string(m_nextStatement++);
    what.value = rest;
    return what;
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
    const std::uint64_t count = 1 + m_random() % mostInTransaction;
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
    m_attempt = m_around.history->addAttempt();
    m_operationBegunAt = m_around.now();
    m_wrote = false;
    m_failed = false;
    send();
}

void soak_client::send()
{
    client_statement what = m_steps[m_step];
    what.text = textOf(what);
    const time_point now = m_around.now();
    if (what.verb == client_verb::begin || what.verb == client_verb::beginRead) {
        m_transactionBegunAt = now;
    }
    m_sent = {};
    m_sent.what = what;
    m_sent.session = m_session;
    m_sent.attempt = m_attempt;
    m_sent.sentAt = now;
    m_sent.begunAt = m_inTransaction ? m_transactionBegunAt : now;
    m_sent.rule = m_route.rules.rule;
    m_sent.maxAge = m_route.rules.maxAge;
    m_sent.group = m_route.rules.group;
    m_sent.shape = what.verb == client_verb::execute ? m_shapes[what.name] : std::string();
    m_sent.inTransaction = m_inTransaction;
    m_sent.wrote = m_wrote;
    m_around.history->onSent(m_sent);
    m_waits = true;
    armPatience();
    m_stream->out() += "QUERY " + what.id + " " + what.text + "\r\n";
    m_stream->flush();
}

void soak_client::answered(const database_reply &reply)
{
    m_waits = false;
    m_around.history->onAnswer(m_sent.what.id, reply, m_around.now());
    m_around.tally->answers[std::string(toString(reply.code))] += 1;
    const client_statement &what = m_sent.what;
    const bool done = reply.code == reply_code::done;
    if (done && what.verb == client_verb::setValue) {
        m_around.history->onValueSet(m_session, what.name, what.value);
    } else if (done && what.verb == client_verb::prepare) {
        m_shapes[what.name] = (what.writes ? "WRITE " : "READ ") + what.value;
    } else if (done && (what.verb == client_verb::begin || what.verb == client_verb::beginRead)) {
        m_inTransaction = true;
    } else if (done && what.verb == client_verb::write && m_inTransaction) {
        m_wrote = true;
    }
    m_failed = m_failed || !done;
    const bool ends = what.verb == client_verb::commit || what.verb == client_verb::rollback;
    if (ends || reply.state == transaction_state::none) {
        if (ends && reply.state != transaction_state::none) {
            m_around.history->breakPromise("PINNED: " + what.id + " ended a transaction, and the session is still in one");
        }
        m_inTransaction = false;
    }
    if (m_failed && m_inTransaction) {
        // A failed transaction accepts only its end.
        m_steps = {make(client_verb::rollback)};
        m_step = 0;
        send();
        return;
    }
    m_step += 1;
    if (m_failed || m_step >= m_steps.size()) {
        endOperation(!m_failed);
        think();
        return;
    }
    send();
}

void soak_client::endOperation(bool served)
{
    m_steps.clear();
    m_around.tally->operations.push_back({m_operationBegunAt, m_around.now(), served});
}

} // namespace mustardrouter
