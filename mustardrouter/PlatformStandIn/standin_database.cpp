#include "mustardrouter/PlatformStandIn/standin_database.h"

#include "mustardrouter/PlatformStandIn/loopback_listener.h"
#include "platform/line_codec.h"

#include <asio/post.hpp>

#include <charconv>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Statements that wait for a slot before the database refuses further ones.
constexpr std::size_t maxQueueLength = 16;
/// Time that a statement or a new connection takes in a slot.
constexpr std::uint64_t minServiceTimeMicros = 500;
constexpr std::uint64_t serviceTimeSpreadMicros = 3000;
/// Interval of checks whether an unresponsive database responds again, or a replica has received a commit.
constexpr auto pollInterval = std::chrono::milliseconds(2);

std::string takeWord(std::string &text)
{
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

std::string textOf(const log_entry &entry)
{
    return std::to_string(entry.term.value()) + "." + std::to_string(entry.position.value());
}

std::optional<log_entry> parsePosition(const std::string &text)
{
    const std::size_t dot = text.find('.');
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    if (dot == std::string::npos || std::from_chars(text.data(), text.data() + dot, term).ptr != text.data() + dot
        || std::from_chars(text.data() + dot + 1, end, number).ptr != end) {
        return std::nullopt;
    }
    return log_entry{term_number(term), log_position(number)};
}

bool isClientVerb(const std::string &verb)
{
    return verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT";
}

} // namespace

standin_database::standin_database(
    asio::io_context &context, standin_group &group, database_name name, database_observer observer, clock now, std::uint64_t seed)
    : m_context(context)
    , m_group(group)
    , m_name(std::move(name))
    , m_observer(std::move(observer))
    , m_now(std::move(now))
    , m_random(seed)
    , m_acceptor(context)
{
}

standin_member &standin_database::self()
{
    return m_group.members.at(m_name);
}

const standin_member &standin_database::self() const
{
    return m_group.members.at(m_name);
}

bool standin_database::listen()
{
    if (!listenOnLoopback(m_acceptor, m_port)) {
        return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    return true;
}

std::string standin_database::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void standin_database::setAnswerLoss(unsigned percent)
{
    m_percentLost = percent;
}

void standin_database::crash()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    resetConnections();
}

void standin_database::resetConnections()
{
    for (const auto &[number, connection] : std::exchange(m_connections, {})) {
        connection->ended = true;
        connection->timer.cancel();
        connection->stream->close();
    }
    m_queue.clear();
    m_busySlots = 0;
}

void standin_database::resumeProcessing()
{
    const std::map<std::uint64_t, connection_ref> all = m_connections;
    for (const auto &[number, connection] : all) {
        processNext(connection);
    }
}

void standin_database::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (!problem) {
            add(std::move(socket));
        }
        accept();
    });
}

void standin_database::add(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<standin_database::connection>(m_context);
    connection->number = m_nextConnection++;
    // The connection owns the stream, so the stream's handlers must not keep the connection alive.
    const std::weak_ptr<standin_database::connection> weak = connection;
    line_stream::handlers callbacks;
    callbacks.onLine = [this, weak](std::string_view line) {
        if (const connection_ref peer = weak.lock()) {
            peer->lines.emplace_back(line);
            processNext(peer);
        }
    };
    callbacks.onEnd = [this, weak](close_reason) {
        if (const connection_ref peer = weak.lock()) {
            // Requests received before the end still run.
            peer->ended = true;
            processNext(peer);
        }
    };
    connection->stream = std::make_shared<line_stream>(std::move(socket), platform::maxLineBytes, std::move(callbacks));
    m_connections[connection->number] = connection;
    connection->stream->start();
}

void standin_database::remove(const connection_ref &peer)
{
    peer->stream->close();
    m_connections.erase(peer->number);
}

void standin_database::processNext(const connection_ref &peer)
{
    if (peer->working || self().unresponsive || !m_connections.contains(peer->number)) {
        return;
    }
    if (peer->lines.empty()) {
        if (peer->ended) {
            remove(peer);
        }
        return;
    }
    const std::string line = std::move(peer->lines.front());
    peer->lines.pop_front();
    peer->working = true;
    if (!peer->started) {
        runInSlot(peer, true, [this, peer, line] {
            start(peer, line);
        });
        return;
    }
    const query request = parse(line);
    if (request.malformed || (isClientVerb(request.verb) && request.id == "-")) {
        m_observer.onProtocolViolation("a database got '" + line.substr(0, 80) + "'");
        refuse(peer, "MALFORMED");
        return;
    }
    const bool takesSlot = isClientVerb(request.verb) || request.verb == "STATUS";
    if (takesSlot && m_busySlots >= m_group.slots && m_queue.size() >= maxQueueLength) {
        reply(peer, "ERROR BUSY " + m_name.value() + "\r\n");
        return;
    }
    runInSlot(peer, takesSlot, [this, peer, request] {
        execute(peer, request);
    });
}

void standin_database::runInSlot(const connection_ref &peer, bool takesSlot, std::function<void()> then)
{
    if (!takesSlot) {
        then();
        return;
    }
    if (m_busySlots >= m_group.slots) {
        m_queue.emplace_back(peer, std::move(then));
        return;
    }
    m_busySlots += 1;
    peer->timer.expires_after(std::chrono::microseconds(minServiceTimeMicros + m_random() % serviceTimeSpreadMicros));
    const auto finish = std::make_shared<std::function<void(const asio::error_code &)>>();
    *finish = [this, peer, then = std::move(then), weak = std::weak_ptr(finish)](const asio::error_code &problem) {
        if (problem || !m_connections.contains(peer->number)) {
            return;
        }
        if (self().unresponsive) {
            peer->timer.expires_after(pollInterval);
            peer->timer.async_wait([again = weak.lock()](const asio::error_code &wrong) {
                (*again)(wrong);
            });
            return;
        }
        m_busySlots -= 1;
        if (!m_queue.empty()) {
            auto [next, thenNext] = std::move(m_queue.front());
            m_queue.pop_front();
            runInSlot(next, true, std::move(thenNext));
        }
        then();
    };
    peer->timer.async_wait([finish](const asio::error_code &problem) {
        (*finish)(problem);
    });
}

standin_database::query standin_database::parse(const std::string &line)
{
    query request;
    std::string rest = line;
    if (takeWord(rest) != "QUERY") {
        request.malformed = true;
        return request;
    }
    request.id = takeWord(rest);
    if (rest.starts_with("AFTER ")) {
        takeWord(rest);
        request.floor = parsePosition(takeWord(rest));
        request.malformed = !request.floor.has_value();
    }
    request.text = rest;
    request.verb = takeWord(rest);
    request.rest = rest;
    return request;
}

void standin_database::start(const connection_ref &peer, const std::string &line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    const std::string group = takeWord(rest);
    takeWord(rest);
    const bool wrong = word != "STARTUP" || group != m_group.name.value() || (!rest.empty() && rest != m_name.value());
    const bool full = m_connections.size() > m_group.connections;
    if (wrong || full) {
        peer->stream->out() += std::string("ERROR ") + (wrong ? "MISROUTED " : "TOOMANY ") + m_name.value() + "\r\n";
        m_connections.erase(peer->number);
        peer->stream->closeAfterFlush();
        return;
    }
    peer->started = true;
    reply(peer, {});
}

void standin_database::execute(const connection_ref &peer, const query &request)
{
    replicate(m_group, m_now());
    // The real databases compare only the position, not the term.
    if (request.floor && request.floor->position > appliedEnd(self()).position) {
        refuse(peer, "LAGGING");
        return;
    }
    if (isClientVerb(request.verb)) {
        runClientStatement(peer, request);
    } else {
        runControlStatement(peer, request);
    }
}

void standin_database::runControlStatement(const connection_ref &peer, const query &request)
{
    std::string rest = request.rest;
    if (peer->failed && request.verb != "ROLLBACK" && request.verb != "STATUS") {
        refuse(peer, "MALFORMED");
    } else if (request.verb == "BEGIN") {
        const bool reads = request.rest == "READ";
        if (!reads && !self().primary) {
            refuse(peer, "READONLY");
            return;
        }
        peer->inTransaction = true;
        peer->readWrite = !reads;
        peer->transactionTerm = self().term;
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "ROLLBACK") {
        peer->inTransaction = false;
        peer->failed = false;
        peer->writes.clear();
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "DISCARD") {
        peer->values.clear();
        peer->prepared.clear();
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "SET") {
        const std::string name = takeWord(rest);
        peer->values[name] = rest;
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "PREPARE") {
        const std::string name = takeWord(rest);
        peer->prepared[name] = rest;
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "DEALLOCATE") {
        peer->prepared.erase(request.rest);
        reply(peer, "COMPLETE -\r\n");
    } else if (request.verb == "STATUS" || request.verb == "PAUSE" || request.verb == "RESUME") {
        std::uint64_t term = 0;
        std::from_chars(request.rest.data(), request.rest.data() + request.rest.size(), term);
        const bool pauses = request.verb == "PAUSE" && !self().primary && term > self().term.value();
        if (pauses) {
            self().pausedUntilTerm = term_number(term);
        } else if (request.verb == "RESUME") {
            self().pausedUntilTerm = term_number{};
        }
        reply(peer, "DATAROW " + statusRow() + "\r\nCOMPLETE -\r\n");
    } else {
        m_observer.onProtocolViolation("a database got '" + request.text.substr(0, 80) + "'");
        refuse(peer, "MALFORMED");
    }
}

std::string standin_database::statusRow() const
{
    const standin_member &member = self();
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(member.applyAt.empty() ? duration{} : member.lag);
    return std::string(member.primary ? "primary " : "replica ") + std::to_string(member.term.value()) + " " + textOf(receivedEnd(member))
           + " " + std::to_string(member.pausedUntilTerm.value()) + " " + std::to_string(lag.count()) + " " + std::to_string(m_busySlots)
           + " " + std::to_string(m_connections.size());
}

const char *standin_database::refusalOf(const connection &peer, bool writes, bool commits) const
{
    if (peer.failed || (commits && !peer.inTransaction)) {
        return "MALFORMED";
    }
    const bool isPrimary = self().primary && (!peer.inTransaction || peer.transactionTerm == self().term);
    const bool emptyCommit = commits && peer.writes.empty();
    if (!isPrimary && !emptyCommit && (writes || (peer.inTransaction && peer.readWrite))) {
        return "READONLY";
    }
    return writes && peer.inTransaction && !peer.readWrite ? "READONLY" : nullptr;
}

void standin_database::runClientStatement(const connection_ref &peer, const query &request)
{
    statement_run run;
    run.id = request.id;
    run.text = request.text;
    run.executes = request.verb == "EXECUTE";
    bool writes = request.verb == "WRITE";
    if (run.executes) {
        std::string rest = request.rest;
        const auto known = peer->prepared.find(takeWord(rest));
        if (known == peer->prepared.end()) {
            refuse(peer, "NOSTMT");
            return;
        }
        run.statementText = known->second;
        run.text = rest;
        writes = run.statementText.starts_with("WRITE ");
    }
    const bool commits = request.verb == "COMMIT";
    const bool emptyCommit = commits && peer->writes.empty();
    if (const char *code = refusalOf(*peer, writes, commits)) {
        refuse(peer, code);
        return;
    }
    run.group = m_group.name;
    run.database = m_name;
    run.connection = peer->number;
    run.inTransaction = peer->inTransaction;
    run.values = peer->values;
    run.applied = self().applied;
    run.lastCommit = run.applied == 0 ? std::string() : self().log[run.applied - 1].id;
    const bool reads = !writes && !commits;
    if (reads) {
        run.rows = {"row-" + std::to_string(m_random())};
    }
    const std::string signature = m_observer.onRun(run);
    const std::string answer = (reads ? "DATAROW " + run.rows.front() + "\r\n" : std::string()) + "COMPLETE " + signature + "\r\n";
    const bool ends = commits || (writes && !peer->inTransaction);
    if (m_random() % 100 < m_percentLost) {
        peer->repliesDropped = true;
    }
    if (ends && !emptyCommit) {
        peer->inTransaction = false;
        peer->writes.clear();
        commit(peer, request.id, answer);
        return;
    }
    if (commits) {
        peer->inTransaction = false;
    } else if (writes) {
        peer->writes.push_back(request.id);
    }
    reply(peer, answer);
}

void standin_database::commit(const connection_ref &peer, const std::string &id, const std::string &answer)
{
    const std::size_t index = appendCommit(self(), id);
    m_observer.onCommit(m_group.name, id, index);
    acknowledge(peer, index, answer);
}

void standin_database::acknowledge(const connection_ref &peer, std::size_t index, const std::string &answer)
{
    if (!m_connections.contains(peer->number)) {
        return;
    }
    if (!self().primary) {
        // No longer primary: whether the commit survives is unknown here.
        remove(peer);
        return;
    }
    replicate(m_group, m_now());
    if (!self().unresponsive && isReplicated(m_group, self(), index)) {
        reply(peer, answer);
        return;
    }
    peer->timer.expires_after(pollInterval);
    peer->timer.async_wait([this, peer, index, answer](const asio::error_code &problem) {
        if (!problem) {
            acknowledge(peer, index, answer);
        }
    });
}

void standin_database::refuse(const connection_ref &peer, const char *code)
{
    peer->failed = peer->inTransaction;
    reply(peer, std::string("ERROR ") + code + " " + m_name.value() + "\r\n");
}

std::string standin_database::ready(const connection &peer) const
{
    const char *const state = peer.failed ? "E" : peer.inTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + textOf(appliedEnd(self())) + "\r\n";
}

void standin_database::reply(const connection_ref &peer, const std::string &lines)
{
    if (!peer->repliesDropped && !peer->ended) {
        peer->stream->out() += lines + ready(*peer);
        peer->stream->flush();
    }
    finishStatement(peer);
}

void standin_database::finishStatement(const connection_ref &peer)
{
    peer->working = false;
    // Posted, not called, because many pending requests would recurse deeply.
    asio::post(m_context, [this, peer] {
        processNext(peer);
    });
}

} // namespace mustardrouter
