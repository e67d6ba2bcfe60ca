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

/// Statements that wait for a slot before the database refuses more.
constexpr std::size_t queueLength = 16;
/// Work of a statement and of a new connection, in microseconds.
constexpr std::uint64_t leastWorkMicros = 500;
constexpr std::uint64_t workSpreadMicros = 3000;
/// Between two looks whether a machine that was dark is back, or a replica has received a commit.
constexpr auto lookInterval = std::chrono::milliseconds(2);

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

bool isClients(const std::string &verb)
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

void standin_database::loseAnswers(unsigned percent)
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
    m_waiting.clear();
    m_running = 0;
}

void standin_database::wake()
{
    const std::map<std::uint64_t, connection_ref> all = m_connections;
    for (const auto &[number, connection] : all) {
        step(connection);
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
    // The stream belongs to the connection: its handlers must not keep the connection alive.
    const std::weak_ptr<standin_database::connection> weak = connection;
    line_stream::handlers callbacks;
    callbacks.onLine = [this, weak](std::string_view line) {
        if (const connection_ref from = weak.lock()) {
            from->lines.emplace_back(line);
            step(from);
        }
    };
    callbacks.onEnd = [this, weak](close_reason) {
        if (const connection_ref from = weak.lock()) {
            // What had arrived before the end still runs.
            from->ended = true;
            step(from);
        }
    };
    connection->stream = std::make_shared<line_stream>(std::move(socket), platform::maxLineBytes, std::move(callbacks));
    m_connections[connection->number] = connection;
    connection->stream->start();
}

void standin_database::remove(const connection_ref &from)
{
    from->stream->close();
    m_connections.erase(from->number);
}

void standin_database::step(const connection_ref &from)
{
    if (from->working || self().dark || !m_connections.contains(from->number)) {
        return;
    }
    if (from->lines.empty()) {
        if (from->ended) {
            remove(from);
        }
        return;
    }
    const std::string line = std::move(from->lines.front());
    from->lines.pop_front();
    from->working = true;
    if (!from->started) {
        work(from, true, [this, from, line] {
            start(from, line);
        });
        return;
    }
    const query what = parse(line);
    if (what.malformed || (isClients(what.verb) && what.id == "-")) {
        m_observer.onMisuse("a database got '" + line.substr(0, 80) + "'");
        refuse(from, "MALFORMED");
        return;
    }
    const bool takesSlot = isClients(what.verb) || what.verb == "STATUS";
    if (takesSlot && m_running >= m_group.slots && m_waiting.size() >= queueLength) {
        reply(from, "ERROR BUSY " + m_name.value() + "\r\n");
        return;
    }
    work(from, takesSlot, [this, from, what] {
        carryOut(from, what);
    });
}

void standin_database::work(const connection_ref &from, bool takesSlot, std::function<void()> then)
{
    if (!takesSlot) {
        then();
        return;
    }
    if (m_running >= m_group.slots) {
        m_waiting.emplace_back(from, std::move(then));
        return;
    }
    m_running += 1;
    from->timer.expires_after(std::chrono::microseconds(leastWorkMicros + m_random() % workSpreadMicros));
    const auto finish = std::make_shared<std::function<void(const asio::error_code &)>>();
    *finish = [this, from, then = std::move(then), weak = std::weak_ptr(finish)](const asio::error_code &problem) {
        if (problem || !m_connections.contains(from->number)) {
            return;
        }
        if (self().dark) {
            from->timer.expires_after(lookInterval);
            from->timer.async_wait([again = weak.lock()](const asio::error_code &wrong) {
                (*again)(wrong);
            });
            return;
        }
        m_running -= 1;
        if (!m_waiting.empty()) {
            auto [next, thenNext] = std::move(m_waiting.front());
            m_waiting.pop_front();
            work(next, true, std::move(thenNext));
        }
        then();
    };
    from->timer.async_wait([finish](const asio::error_code &problem) {
        (*finish)(problem);
    });
}

standin_database::query standin_database::parse(const std::string &line)
{
    query what;
    std::string rest = line;
    if (takeWord(rest) != "QUERY") {
        what.malformed = true;
        return what;
    }
    what.id = takeWord(rest);
    if (rest.starts_with("AFTER ")) {
        takeWord(rest);
        what.floor = parsePosition(takeWord(rest));
        what.malformed = !what.floor.has_value();
    }
    what.text = rest;
    what.verb = takeWord(rest);
    what.rest = rest;
    return what;
}

void standin_database::start(const connection_ref &from, const std::string &line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    const std::string group = takeWord(rest);
    takeWord(rest);
    const bool wrong = word != "STARTUP" || group != m_group.name.value() || (!rest.empty() && rest != m_name.value());
    const bool full = m_connections.size() > m_group.connections;
    if (wrong || full) {
        from->stream->out() += std::string("ERROR ") + (wrong ? "MISROUTED " : "TOOMANY ") + m_name.value() + "\r\n";
        m_connections.erase(from->number);
        from->stream->closeAfterFlush();
        return;
    }
    from->started = true;
    reply(from, {});
}

void standin_database::carryOut(const connection_ref &from, const query &what)
{
    replicate(m_group, m_now());
    // The real databases compare numbers only.
    if (what.floor && what.floor->position > appliedEnd(self()).position) {
        refuse(from, "LAGGING");
        return;
    }
    if (isClients(what.verb)) {
        runForClient(from, what);
    } else {
        runOwn(from, what);
    }
}

void standin_database::runOwn(const connection_ref &from, const query &what)
{
    std::string rest = what.rest;
    if (from->failed && what.verb != "ROLLBACK" && what.verb != "STATUS") {
        refuse(from, "MALFORMED");
    } else if (what.verb == "BEGIN") {
        const bool reads = what.rest == "READ";
        if (!reads && !self().primary) {
            refuse(from, "READONLY");
            return;
        }
        from->inTransaction = true;
        from->plain = !reads;
        from->begunIn = self().term;
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "ROLLBACK") {
        from->inTransaction = false;
        from->failed = false;
        from->writes.clear();
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "DISCARD") {
        from->values.clear();
        from->prepared.clear();
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "SET") {
        const std::string name = takeWord(rest);
        from->values[name] = rest;
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "PREPARE") {
        const std::string name = takeWord(rest);
        from->prepared[name] = rest;
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "DEALLOCATE") {
        from->prepared.erase(what.rest);
        reply(from, "COMPLETE -\r\n");
    } else if (what.verb == "STATUS" || what.verb == "PAUSE" || what.verb == "RESUME") {
        std::uint64_t term = 0;
        std::from_chars(what.rest.data(), what.rest.data() + what.rest.size(), term);
        const bool holds = what.verb == "PAUSE" && !self().primary && term > self().term.value();
        if (holds) {
            self().held = term_number(term);
        } else if (what.verb == "RESUME") {
            self().held = term_number{};
        }
        reply(from, "DATAROW " + statusRow() + "\r\nCOMPLETE -\r\n");
    } else {
        m_observer.onMisuse("a database got '" + what.text.substr(0, 80) + "'");
        refuse(from, "MALFORMED");
    }
}

std::string standin_database::statusRow() const
{
    const standin_member &member = self();
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(member.applyAt.empty() ? duration{} : member.lag);
    return std::string(member.primary ? "primary " : "replica ") + std::to_string(member.term.value()) + " " + textOf(receivedEnd(member))
           + " " + std::to_string(member.held.value()) + " " + std::to_string(lag.count()) + " " + std::to_string(m_running) + " "
           + std::to_string(m_connections.size());
}

const char *standin_database::refusalOf(const connection &from, bool writes, bool commits) const
{
    if (from.failed || (commits && !from.inTransaction)) {
        return "MALFORMED";
    }
    const bool leads = self().primary && (!from.inTransaction || from.begunIn == self().term);
    const bool emptyCommit = commits && from.writes.empty();
    if (!leads && !emptyCommit && (writes || (from.inTransaction && from.plain))) {
        return "READONLY";
    }
    return writes && from.inTransaction && !from.plain ? "READONLY" : nullptr;
}

void standin_database::runForClient(const connection_ref &from, const query &what)
{
    statement_run run;
    run.id = what.id;
    run.text = what.text;
    run.executes = what.verb == "EXECUTE";
    bool writes = what.verb == "WRITE";
    if (run.executes) {
        std::string rest = what.rest;
        const auto known = from->prepared.find(takeWord(rest));
        if (known == from->prepared.end()) {
            refuse(from, "NOSTMT");
            return;
        }
        run.shape = known->second;
        run.text = rest;
        writes = run.shape.starts_with("WRITE ");
    }
    const bool commits = what.verb == "COMMIT";
    const bool emptyCommit = commits && from->writes.empty();
    if (const char *code = refusalOf(*from, writes, commits)) {
        refuse(from, code);
        return;
    }
    run.group = m_group.name;
    run.database = m_name;
    run.connection = from->number;
    run.inTransaction = from->inTransaction;
    run.values = from->values;
    run.applied = self().applied;
    run.lastCommit = run.applied == 0 ? std::string() : self().log[run.applied - 1].id;
    const bool reads = !writes && !commits;
    if (reads) {
        run.rows = {"row-" + std::to_string(m_random())};
    }
    const std::string signature = m_observer.onRun(run);
    const std::string answer = (reads ? "DATAROW " + run.rows.front() + "\r\n" : std::string()) + "COMPLETE " + signature + "\r\n";
    const bool ends = commits || (writes && !from->inTransaction);
    if (m_random() % 100 < m_percentLost) {
        from->muted = true;
    }
    if (ends && !emptyCommit) {
        from->inTransaction = false;
        from->writes.clear();
        commit(from, what.id, answer);
        return;
    }
    if (commits) {
        from->inTransaction = false;
    } else if (writes) {
        from->writes.push_back(what.id);
    }
    reply(from, answer);
}

void standin_database::commit(const connection_ref &from, const std::string &id, const std::string &answer)
{
    const std::size_t index = appendCommit(self(), id);
    m_observer.onCommit(m_group.name, id, index);
    acknowledge(from, index, answer);
}

void standin_database::acknowledge(const connection_ref &from, std::size_t index, const std::string &answer)
{
    if (!m_connections.contains(from->number)) {
        return;
    }
    if (!self().primary) {
        // Whether the commit is kept is not known here any more.
        remove(from);
        return;
    }
    replicate(m_group, m_now());
    if (!self().dark && isReplicated(m_group, self(), index)) {
        reply(from, answer);
        return;
    }
    from->timer.expires_after(lookInterval);
    from->timer.async_wait([this, from, index, answer](const asio::error_code &problem) {
        if (!problem) {
            acknowledge(from, index, answer);
        }
    });
}

void standin_database::refuse(const connection_ref &from, const char *code)
{
    from->failed = from->inTransaction;
    reply(from, std::string("ERROR ") + code + " " + m_name.value() + "\r\n");
}

std::string standin_database::ready(const connection &from) const
{
    const char *const state = from.failed ? "E" : from.inTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + textOf(appliedEnd(self())) + "\r\n";
}

void standin_database::reply(const connection_ref &from, const std::string &lines)
{
    if (!from->muted && !from->ended) {
        from->stream->out() += lines + ready(*from);
        from->stream->flush();
    }
    done(from);
}

void standin_database::done(const connection_ref &from)
{
    from->working = false;
    // Not from within the handler of a line: many queries may be waiting.
    asio::post(m_context, [this, from] {
        step(from);
    });
}

} // namespace mustardrouter
