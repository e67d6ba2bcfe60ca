#include "mustardrouter/PlatformStandIn/platform_standin_database.h"

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

platform_standin_database::platform_standin_database(
    asio::io_context &context, standin_group &group, database_name name, database_observer observer, now_function now, std::uint64_t seed)
    : m_context(context)
    , m_group(group)
    , m_name(std::move(name))
    , m_observer(std::move(observer))
    , m_now(std::move(now))
    , m_random(seed)
    , m_acceptor(context)
{
}

standin_member &platform_standin_database::self()
{
    return m_group.members.at(m_name);
}

const standin_member &platform_standin_database::self() const
{
    return m_group.members.at(m_name);
}

bool platform_standin_database::listen()
{
    if (!listenOnLoopback(m_acceptor, m_port)) {
        return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    return true;
}

std::string platform_standin_database::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void platform_standin_database::setAnswerLoss(unsigned percent)
{
    m_percentLost = percent;
}

void platform_standin_database::crash()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    resetConnections();
}

void platform_standin_database::resetConnections()
{
    for (const auto &[number, connection] : std::exchange(m_connections, {})) {
        connection->ended = true;
        connection->timer.cancel();
        connection->stream->close();
    }
    m_queue.clear();
    m_busySlots = 0;
}

void platform_standin_database::resumeProcessing()
{
    const std::map<std::uint64_t, connection_ref> all = m_connections;
    for (const auto &[number, connection] : all) {
        processNext(connection);
    }
}

void platform_standin_database::accept()
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

void platform_standin_database::add(asio::ip::tcp::socket socket)
{
    auto added = std::make_shared<platform_standin_database::connection>(m_context);
    added->number = m_nextConnection++;
    // The connection owns the stream, so the stream's handlers must not keep the connection alive.
    const std::weak_ptr<platform_standin_database::connection> weak = added;
    line_stream::handlers callbacks;
    callbacks.onLine = [this, weak](std::string_view line) {
        if (const connection_ref connection = weak.lock()) {
            connection->pendingLines.emplace_back(line);
            processNext(connection);
        }
    };
    callbacks.onEnd = [this, weak](close_reason) {
        if (const connection_ref connection = weak.lock()) {
            // Requests received before the end still run.
            connection->ended = true;
            processNext(connection);
        }
    };
    added->stream = std::make_shared<line_stream>(std::move(socket), platform::maxLineBytes, std::move(callbacks));
    m_connections[added->number] = added;
    added->stream->start();
}

void platform_standin_database::remove(const connection_ref &connection)
{
    connection->stream->close();
    m_connections.erase(connection->number);
}

void platform_standin_database::processNext(const connection_ref &connection)
{
    if (connection->processing || self().unresponsive || !m_connections.contains(connection->number)) {
        return;
    }
    if (connection->pendingLines.empty()) {
        if (connection->ended) {
            remove(connection);
        }
        return;
    }
    const std::string line = std::move(connection->pendingLines.front());
    connection->pendingLines.pop_front();
    connection->processing = true;
    if (!connection->startupDone) {
        runInSlot(connection, true, {}, [this, connection, line] {
            handleStartup(connection, line);
        });
        return;
    }
    const query request = parse(line);
    if (request.malformed || (isClientVerb(request.verb) && request.id == "-")) {
        m_observer.onProtocolViolation("a database got '" + line.substr(0, 80) + "'");
        refuse(connection, "MALFORMED");
        return;
    }
    const bool takesSlot = isClientVerb(request.verb) || request.verb == "STATUS";
    if (takesSlot && m_busySlots >= m_group.slots && m_queue.size() >= maxQueueLength) {
        reply(connection, "ERROR BUSY " + m_name.value() + "\r\n");
        return;
    }
    const duration extraWork = isClientVerb(request.verb) && m_observer.onReceived ? m_observer.onReceived(request.id) : duration{};
    runInSlot(connection, takesSlot, extraWork, [this, connection, request] {
        execute(connection, request);
    });
}

void platform_standin_database::runInSlot(const connection_ref &connection, bool takesSlot, duration extraWork, std::function<void()> then)
{
    if (!takesSlot) {
        then();
        return;
    }
    if (m_busySlots >= m_group.slots) {
        m_queue.push_back({connection, extraWork, std::move(then)});
        return;
    }
    m_busySlots += 1;
    connection->timer.expires_after(extraWork + std::chrono::microseconds(minServiceTimeMicros + m_random() % serviceTimeSpreadMicros));
    const auto finish = std::make_shared<std::function<void(const asio::error_code &)>>();
    *finish = [this, connection, then = std::move(then), weak = std::weak_ptr(finish)](const asio::error_code &problem) {
        if (problem || !m_connections.contains(connection->number)) {
            return;
        }
        if (self().unresponsive) {
            connection->timer.expires_after(pollInterval);
            connection->timer.async_wait([again = weak.lock()](const asio::error_code &wrong) {
                (*again)(wrong);
            });
            return;
        }
        m_busySlots -= 1;
        if (!m_queue.empty()) {
            queued_run next = std::move(m_queue.front());
            m_queue.pop_front();
            runInSlot(next.connection, true, next.extraWork, std::move(next.then));
        }
        then();
    };
    connection->timer.async_wait([finish](const asio::error_code &problem) {
        (*finish)(problem);
    });
}

platform_standin_database::query platform_standin_database::parse(const std::string &line)
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
    request.statementText = rest;
    request.verb = takeWord(rest);
    request.arguments = rest;
    return request;
}

void platform_standin_database::handleStartup(const connection_ref &connection, const std::string &line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    const std::string group = takeWord(rest);
    connection->caller = takeWord(rest);
    const bool wrong = word != "STARTUP" || group != m_group.name.value() || (!rest.empty() && rest != m_name.value());
    const bool full = m_connections.size() > m_group.connections;
    if (wrong || full) {
        connection->stream->out() += std::string("ERROR ") + (wrong ? "MISROUTED " : "TOOMANY ") + m_name.value() + "\r\n";
        m_connections.erase(connection->number);
        connection->stream->closeAfterFlush();
        return;
    }
    connection->startupDone = true;
    reply(connection, {});
}

void platform_standin_database::execute(const connection_ref &connection, const query &request)
{
    replicate(m_group, m_now());
    // The real databases compare only the position, not the term.
    if (request.floor && request.floor->position > appliedEnd(self()).position) {
        refuse(connection, "LAGGING");
        return;
    }
    if (isClientVerb(request.verb)) {
        runClientStatement(connection, request);
    } else {
        runControlStatement(connection, request);
    }
}

void platform_standin_database::runControlStatement(const connection_ref &connection, const query &request)
{
    std::string rest = request.arguments;
    if (connection->transactionFailed && request.verb != "ROLLBACK" && request.verb != "STATUS") {
        refuse(connection, "MALFORMED");
    } else if (request.verb == "BEGIN") {
        const bool reads = request.arguments == "READ";
        if (!reads && !self().primary) {
            refuse(connection, "READONLY");
            return;
        }
        connection->inTransaction = true;
        connection->readWrite = !reads;
        connection->transactionTerm = self().term;
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "ROLLBACK") {
        connection->inTransaction = false;
        connection->transactionFailed = false;
        connection->transactionWriteIds.clear();
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "DISCARD") {
        connection->values.clear();
        connection->prepared.clear();
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "SET") {
        const std::string name = takeWord(rest);
        connection->values[name] = rest;
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "PREPARE") {
        const std::string name = takeWord(rest);
        connection->prepared[name] = rest;
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "DEALLOCATE") {
        connection->prepared.erase(request.arguments);
        reply(connection, "COMPLETE -\r\n");
    } else if (request.verb == "STATUS" || request.verb == "PAUSE" || request.verb == "RESUME" || request.verb == "STEPDOWN") {
        std::uint64_t term = 0;
        std::from_chars(request.arguments.data(), request.arguments.data() + request.arguments.size(), term);
        const bool pauses = request.verb == "PAUSE" && !self().primary && term > self().term.value();
        if (pauses) {
            self().pausedUntilTerm = term_number(term);
        } else if (request.verb == "STEPDOWN") {
            stepDown(self(), term_number(term));
        } else if (request.verb == "RESUME") {
            self().pausedUntilTerm = term_number{};
        }
        reply(connection, "DATAROW " + statusRow() + "\r\nCOMPLETE -\r\n");
    } else {
        m_observer.onProtocolViolation("a database got '" + request.statementText.substr(0, 80) + "'");
        refuse(connection, "MALFORMED");
    }
}

std::string platform_standin_database::statusRow() const
{
    const standin_member &member = self();
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(member.applyAt.empty() ? duration{} : member.lag);
    return std::string(member.primary ? "primary " : "replica ") + std::to_string(member.term.value()) + " " + textOf(receivedEnd(member))
           + " " + std::to_string(member.pausedUntilTerm.value()) + " " + std::to_string(lag.count()) + " " + std::to_string(m_busySlots)
           + " " + std::to_string(m_connections.size());
}

const char *platform_standin_database::refusalOf(const connection &connection, bool writes, bool commits) const
{
    if (connection.transactionFailed || (commits && !connection.inTransaction)) {
        return "MALFORMED";
    }
    const bool isPrimary = self().primary && (!connection.inTransaction || connection.transactionTerm == self().term);
    const bool emptyCommit = commits && connection.transactionWriteIds.empty();
    if (!isPrimary && !emptyCommit && (writes || (connection.inTransaction && connection.readWrite))) {
        return "READONLY";
    }
    return writes && connection.inTransaction && !connection.readWrite ? "READONLY" : nullptr;
}

void platform_standin_database::runClientStatement(const connection_ref &connection, const query &request)
{
    statement_run run;
    run.id = request.id;
    run.text = request.statementText;
    run.executes = request.verb == "EXECUTE";
    bool writes = request.verb == "WRITE";
    if (run.executes) {
        std::string rest = request.arguments;
        const auto known = connection->prepared.find(takeWord(rest));
        if (known == connection->prepared.end()) {
            refuse(connection, "NOSTMT");
            return;
        }
        run.statementText = known->second;
        run.text = rest;
        writes = run.statementText.starts_with("WRITE ");
    }
    const bool commits = request.verb == "COMMIT";
    const bool emptyCommit = commits && connection->transactionWriteIds.empty();
    if (const char *code = refusalOf(*connection, writes, commits)) {
        refuse(connection, code);
        return;
    }
    run.group = m_group.name;
    run.database = m_name;
    run.connection = connection->number;
    run.caller = connection->caller;
    run.inTransaction = connection->inTransaction;
    run.values = connection->values;
    run.applied = self().applied;
    run.lastCommit = run.applied == 0 ? std::string() : self().log[run.applied - 1].id;
    const bool reads = !writes && !commits;
    if (reads) {
        run.rows = {"row-" + std::to_string(m_random())};
    }
    const std::string signature = m_observer.onRun(run);
    const std::string answer = (reads ? "DATAROW " + run.rows.front() + "\r\n" : std::string()) + "COMPLETE " + signature + "\r\n";
    const bool ends = commits || (writes && !connection->inTransaction);
    if (m_random() % 100 < m_percentLost) {
        connection->repliesDropped = true;
    }
    if (ends && !emptyCommit) {
        connection->inTransaction = false;
        connection->transactionWriteIds.clear();
        commit(connection, request.id, answer);
        return;
    }
    if (commits) {
        connection->inTransaction = false;
    } else if (writes) {
        connection->transactionWriteIds.push_back(request.id);
    }
    reply(connection, answer);
}

void platform_standin_database::commit(const connection_ref &connection, const std::string &id, const std::string &answer)
{
    const std::size_t index = appendCommit(self(), id);
    if (self().replaced) {
        m_observer.onCommitOfReplaced(m_group.name, id, self().sharedLength);
    } else {
        m_observer.onCommit(m_group.name, id, index);
    }
    replyWhenReplicated(connection, index, answer);
}

void platform_standin_database::replyWhenReplicated(const connection_ref &connection, std::size_t index, const std::string &answer)
{
    if (!m_connections.contains(connection->number)) {
        return;
    }
    if (!self().primary) {
        // No longer primary: whether the commit survives is unknown here.
        remove(connection);
        return;
    }
    replicate(m_group, m_now());
    if (!self().unresponsive && isReplicated(m_group, self(), index)) {
        reply(connection, answer);
        return;
    }
    connection->timer.expires_after(pollInterval);
    connection->timer.async_wait([this, connection, index, answer](const asio::error_code &problem) {
        if (!problem) {
            replyWhenReplicated(connection, index, answer);
        }
    });
}

void platform_standin_database::refuse(const connection_ref &connection, const char *code)
{
    connection->transactionFailed = connection->inTransaction;
    reply(connection, std::string("ERROR ") + code + " " + m_name.value() + "\r\n");
}

std::string platform_standin_database::readyLine(const connection &connection) const
{
    const char *const state = connection.transactionFailed ? "E" : connection.inTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + textOf(appliedEnd(self())) + "\r\n";
}

void platform_standin_database::reply(const connection_ref &connection, const std::string &lines)
{
    if (!connection->repliesDropped && !connection->ended) {
        connection->stream->out() += lines + readyLine(*connection);
        connection->stream->flush();
    }
    finishStatement(connection);
}

void platform_standin_database::finishStatement(const connection_ref &connection)
{
    connection->processing = false;
    // Posted, not called, because many pending requests would recurse deeply.
    asio::post(m_context, [this, connection] {
        processNext(connection);
    });
}

} // namespace mustardrouter
