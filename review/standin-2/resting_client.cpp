#include "review/standin-2/resting_client.h"

#include "mustardrouter/Network/tcp_options.h"

#include <utility>

namespace mustardrouter::review
{

resting_client::resting_client(world &all, std::string name, std::string route, duration rest)
    : m_world(all)
    , m_name(std::move(name))
    , m_route(std::move(route))
    , m_rest(rest)
    , m_timer(all.context())
{
}

void resting_client::start(const std::string &address)
{
    m_session = m_world.history().addSession();
    m_attempt = m_world.history().addAttempt();
    line_stream::handlers callbacks;
    callbacks.onLine = [self = shared_from_this()](std::string_view line) {
        self->onLine(line);
    };
    callbacks.onEnd = [](close_reason) {
    };
    m_stream = std::make_shared<line_stream>(asio::ip::tcp::socket(m_world.context()), platform::maxLineBytes, std::move(callbacks));
    m_stream->connect(endpointOrUnspecified(address), "STARTUP " + m_route + " " + m_name + "\r\n");
}

void resting_client::send(const client_statement &statement)
{
    sent_statement sent;
    sent.clientStatement = statement;
    sent.session = m_session;
    sent.attempt = m_attempt;
    sent.sentAt = world::now();
    if (statement.verb == client_verb::begin) {
        m_transactionStartedAt = sent.sentAt;
    }
    sent.startedAt = m_transactionStartedAt;
    sent.rule = read_rule::latest;
    sent.group = m_world.group().name;
    sent.inTransaction = statement.verb != client_verb::begin;
    m_world.history().onSent(sent);
    m_stream->out() += "QUERY " + statement.id + " " + statement.text + "\r\n";
    m_stream->flush();
}

void resting_client::onLine(std::string_view line)
{
    const std::optional<database_reply> reply = platform::assemble(m_assembler, line);
    if (!reply) {
        return;
    }
    m_step += 1;
    constexpr int started = 1;
    constexpr int begun = 2;
    if (m_step == started) {
        client_statement begin;
        begin.id = m_name + "-begin";
        begin.verb = client_verb::begin;
        begin.text = "BEGIN";
        m_begunAt = m_world.elapsed();
        send(begin);
        return;
    }
    m_world.history().onAnswer(m_step == begun ? m_name + "-begin" : readId(), *reply, world::now());
    if (m_step > begun) {
        m_answer = toString(reply->code);
        m_stream->close();
        return;
    }
    m_timer.expires_after(m_rest);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        client_statement read;
        read.id = self->readId();
        read.verb = client_verb::read;
        read.value = "5";
        read.text = "READ 5";
        self->m_readSentAt = self->m_world.elapsed();
        self->send(read);
    });
}

const std::string &resting_client::name() const
{
    return m_name;
}

std::string resting_client::readId() const
{
    return m_name + "-read";
}

duration resting_client::readSentAt() const
{
    return m_readSentAt;
}

duration resting_client::begunAt() const
{
    return m_begunAt;
}

const std::string &resting_client::answer() const
{
    return m_answer;
}

} // namespace mustardrouter::review
