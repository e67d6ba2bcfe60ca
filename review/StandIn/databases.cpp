#include "bed.h"

#include <algorithm>
#include <stdexcept>

namespace review
{

namespace
{

constexpr auto pollInterval = 1ms;
constexpr auto handshakeTime = 12ms;
constexpr auto statusWork = 1ms;
/// A statement that would wait longer than this for a slot is refused.
constexpr auto longestQueue = 200ms;
/// A replaced primary goes on for this long after it can reach the new one.
constexpr auto discoveryTime = 1000ms;

std::string positionOf(const database &which)
{
    const unsigned term = which.log.empty() ? 1 : which.log.back().term;
    return std::to_string(term) + "." + std::to_string(which.log.size());
}

bool isSame(const log_commit &left, const log_commit &right)
{
    return left.term == right.term && left.ids == right.ids;
}

std::size_t commonLength(const database &left, const database &right)
{
    std::size_t length = std::min(left.log.size(), right.log.size());
    while (length > 0 && !isSame(left.log[length - 1], right.log[length - 1])) {
        --length;
    }
    return length;
}

} // namespace

struct bed::connection {
    std::string caller;
    bool inTransaction = false;
    bool failed = false;
    bool readOnly = false;
    unsigned term = 0;
    std::vector<std::string> writes;
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> values;
    /// Number of the open transaction, and the values before it.
    std::uint64_t transaction = 0;
    std::map<std::string, std::string> valuesBefore;
    std::string currentId;

    char state() const
    {
        return failed ? 'E' : inTransaction ? 'T' : 'I';
    }
};

std::string takeWord(std::string &text)
{
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

asio::awaitable<std::string> readLine(tcp::socket &socket, std::string &buffer)
{
    const std::size_t size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n", asio::use_awaitable);
    std::string line = buffer.substr(0, size - 2);
    buffer.erase(0, size);
    co_return line;
}

bool bed::listen(database &which)
{
    const std::size_t colon = which.address.find(':');
    const auto port = static_cast<std::uint16_t>(colon == std::string::npos ? 0 : std::stoi(which.address.substr(colon + 1)));
    which.acceptor = std::make_unique<tcp::acceptor>(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    which.address = "127.0.0.1:" + std::to_string(which.acceptor->local_endpoint().port());
    asio::co_spawn(m_context, accept(which), asio::detached);
    return true;
}

asio::awaitable<void> bed::accept(database &which)
{
    try {
        while (which.acceptor) {
            auto socket = std::make_shared<tcp::socket>(co_await which.acceptor->async_accept(asio::use_awaitable));
            asio::co_spawn(m_context, serve(which, socket), asio::detached);
        }
    } catch (const std::exception &) {
        // The database has ended.
    }
}

asio::awaitable<void> bed::untilReachable(database &which, const std::string &caller)
{
    while (which.running && (which.dark || which.cutFrom.contains(caller))) {
        co_await sleepFor(pollInterval);
    }
    if (!which.running) {
        throw std::runtime_error("the database has ended");
    }
}

asio::awaitable<void> bed::serve(database &which, std::shared_ptr<tcp::socket> socket)
{
    connection from;
    which.sockets.insert(socket);
    which.connections += 1;
    try {
        socket->set_option(tcp::no_delay(true));
        std::string buffer;
        std::string start = co_await readLine(*socket, buffer);
        const std::string word = takeWord(start);
        const std::string service = takeWord(start);
        from.caller = takeWord(start);
        co_await untilReachable(which, from.caller);
        co_await sleepFor(handshakeTime);
        std::string answer = "READY I " + positionOf(which) + "\r\n";
        if (word != "STARTUP" || service != "scripts" || (!start.empty() && start != which.name)) {
            answer = "ERROR MISROUTED " + which.name + "\r\n";
        } else if (which.connections > m_options.maxConnections) {
            answer = "ERROR TOOMANY " + which.name + "\r\n";
        }
        co_await asio::async_write(*socket, asio::buffer(answer), asio::use_awaitable);
        while (answer.starts_with("READY") || answer.find("\r\nREADY ") != std::string::npos) {
            const std::string line = co_await readLine(*socket, buffer);
            co_await untilReachable(which, from.caller);
            answer = co_await execute(which, from, line);
            co_await untilReachable(which, from.caller);
            answer += std::string("READY ") + from.state() + " " + positionOf(which) + "\r\n";
            co_await asio::async_write(*socket, asio::buffer(answer), asio::use_awaitable);
        }
    } catch (const std::exception &) {
        // The connection has ended; an open transaction is rolled back.
    }
    which.connections -= 1;
    which.sockets.erase(socket);
}

asio::awaitable<bool> bed::takeSlot(database &which, millis work)
{
    which.slotFreeAt.resize(m_options.slots);
    const instant now = steady::now();
    const auto slot = std::ranges::min_element(which.slotFreeAt);
    const instant start = std::max(now, *slot);
    if (start - now > longestQueue) {
        co_return false;
    }
    *slot = start + work;
    co_await sleepUntil(start + work);
    co_return true;
}

asio::awaitable<std::string> bed::execute(database &which, connection &from, std::string line)
{
    std::string rest = line;
    if (takeWord(rest) != "QUERY") {
        co_return "ERROR MALFORMED -\r\n";
    }
    from.currentId = takeWord(rest);
    if (rest.starts_with("AFTER ")) {
        takeWord(rest);
        const std::string floor = takeWord(rest);
        if (std::stoull(floor.substr(floor.find('.') + 1)) > which.log.size()) {
            co_return "ERROR LAGGING " + which.name + "\r\n";
        }
    }
    const std::string text = rest;
    const std::string verb = takeWord(rest);
    if (from.currentId != "-") {
        m_runs.push_back({from.currentId, text});
    }
    if (which.refusedVerbs.contains(verb) && std::uniform_real_distribution<double>(0, 1)(m_random) < which.refusedShare) {
        which.refused += 1;
        co_return "ERROR BUSY " + which.name + "\r\n";
    }
    if (from.failed && verb != "ROLLBACK" && verb != "STATUS") {
        co_return "ERROR MALFORMED -\r\n";
    }
    if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") {
        std::string answer = co_await runClientVerb(which, from, verb, rest);
        co_return answer;
    }
    if (verb == "STATUS") {
        const bool taken = co_await takeSlot(which, statusWork);
        if (!taken) {
            co_return "ERROR BUSY " + which.name + "\r\n";
        }
    }
    co_return control(which, from, verb, rest);
}

asio::awaitable<std::string> bed::commitAt(database &which, std::vector<std::string> ids)
{
    which.log.push_back({which.term, std::move(ids), steady::now()});
    const log_commit committed = which.log.back();
    const std::size_t index = which.log.size() - 1;
    if (which.replaced) {
        for (const std::string &id : committed.ids) {
            m_commitsOfReplaced[id] = committed.at;
            m_record.write("database " + which.name + " replaced, commits " + id);
        }
    }
    const auto receivers = [&] {
        return std::ranges::count_if(m_databases, [&](const auto &entry) {
            const database &replica = *entry.second;
            return &replica != &which && replica.log.size() > index && isSame(replica.log[index], committed);
        });
    };
    while (which.running && receivers() < static_cast<long>(m_options.syncReplicas)) {
        if (!which.primary) {
            co_return "ERROR FAILED " + which.name + "\r\n";
        }
        co_await sleepFor(pollInterval);
    }
    if (!which.running) {
        throw std::runtime_error("the database has ended");
    }
    co_return "COMPLETE 7." + std::to_string(index) + ".c2b90e1c4\r\n";
}

asio::awaitable<std::string> bed::runClientVerb(database &which, connection &from, std::string verb, std::string rest)
{
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto known = from.prepared.find(takeWord(rest));
        if (known == from.prepared.end()) {
            co_return "ERROR NOSTMT -\r\n";
        }
        writes = known->second.starts_with("WRITE");
    }
    const bool lostLead = from.inTransaction && !from.readOnly && (!which.primary || which.term != from.term);
    if ((lostLead && !(verb == "COMMIT" && from.writes.empty())) || (writes && !which.primary)) {
        from.failed = from.inTransaction;
        co_return "ERROR READONLY " + which.name + "\r\n";
    }
    const bool taken = co_await takeSlot(which, m_options.work);
    if (!taken) {
        co_return "ERROR BUSY " + which.name + "\r\n";
    }
    co_await untilReachable(which, from.caller);
    if (writes && !which.primary) {
        from.failed = from.inTransaction;
        co_return "ERROR READONLY " + which.name + "\r\n";
    }
    m_statementRuns.push_back({from.currentId, which.name, from.values, from.inTransaction ? from.transaction : 0, steady::now()});
    if (writes && from.inTransaction) {
        from.writes.push_back(from.currentId);
        co_return "COMPLETE 7.w.c2b90e1c4\r\n";
    }
    if (verb == "COMMIT") {
        std::vector<std::string> ids = std::exchange(from.writes, {});
        from.inTransaction = false;
        if (!ids.empty()) {
            ids.push_back(from.currentId);
            std::string answer = co_await commitAt(which, std::move(ids));
            co_return answer;
        }
        co_return "COMPLETE 7.e.c2b90e1c4\r\n";
    }
    if (writes) {
        std::vector<std::string> ids(1, from.currentId);
        std::string answer = co_await commitAt(which, std::move(ids));
        co_return answer;
    }
    co_return "DATAROW qhzkwmtrbelo\r\nCOMPLETE 7.r.c2b90e1c4\r\n";
}

std::string bed::control(database &which, connection &from, const std::string &verb, const std::string &rest)
{
    if (verb == "BEGIN") {
        const bool reads = rest == "READ";
        if (from.inTransaction) {
            return "ERROR MALFORMED -\r\n";
        }
        if (!reads && !which.primary) {
            return "ERROR READONLY " + which.name + "\r\n";
        }
        from.inTransaction = true;
        from.readOnly = reads;
        from.term = which.term;
        from.writes.clear();
        from.transaction = m_nextTransaction++;
        from.valuesBefore = from.values;
        return "COMPLETE -\r\n";
    }
    if (verb == "ROLLBACK") {
        if (from.inTransaction) {
            from.values = from.valuesBefore;
        }
        from.inTransaction = false;
        from.failed = false;
        from.writes.clear();
        return "COMPLETE -\r\n";
    }
    if (verb == "PREPARE") {
        std::string shape = rest;
        const std::string name = takeWord(shape);
        from.prepared[name] = shape;
        return "COMPLETE -\r\n";
    }
    if (verb == "SET") {
        std::string value = rest;
        const std::string name = takeWord(value);
        from.values[name] = value;
        return "COMPLETE -\r\n";
    }
    if (verb == "DEALLOCATE") {
        from.prepared.erase(rest);
        return "COMPLETE -\r\n";
    }
    if (verb == "DISCARD") {
        from.values.clear();
        from.prepared.clear();
        return "COMPLETE -\r\n";
    }
    if (verb == "PAUSE") {
        const auto term = static_cast<unsigned>(std::stoul(rest));
        if (!which.primary && term > which.term) {
            which.pausedUntil = term;
        }
    } else if (verb == "RESUME") {
        which.pausedUntil = 0;
    } else if (verb == "STEPDOWN") {
        if (which.primary && which.term < std::stoul(rest)) {
            which.primary = false;
            which.replaced = false;
            publish(which);
        }
    } else if (verb != "STATUS") {
        return "ERROR MALFORMED -\r\n";
    }
    if (verb != "STATUS") {
        m_record.write("database " + which.name + " got " + verb + " " + rest + " from " + from.caller);
        if (onControl) {
            onControl(which, verb, from.caller);
        }
    }
    return std::string("DATAROW ") + (which.primary ? "primary " : "replica ") + std::to_string(which.term) + " " + positionOf(which) + " "
           + std::to_string(which.pausedUntil) + " " + std::to_string(which.primary ? 0 : which.delay.count()) + " 0 "
           + std::to_string(which.connections) + "\r\nCOMPLETE -\r\n";
}

void bed::receive(database &replica, instant now)
{
    database *from = primary();
    const bool reaches = from != nullptr && !from->dark && !from->cutFromReplicas && !replica.dark && !replica.deaf;
    // What a primary sent before its process ended still arrives.
    const bool up = reaches && replica.running && replica.pausedUntil == 0;
    if (!up) {
        replica.linkWasUp = false;
        return;
    }
    if (!replica.linkWasUp) {
        replica.linkWasUp = true;
        replica.linkSince = now;
    }
    const std::size_t common = commonLength(replica, *from);
    if (common < replica.log.size()) {
        replica.log.resize(common);
    }
    while (replica.log.size() < from->log.size()) {
        const log_commit &next = from->log[replica.log.size()];
        const bool sent = from->running || replica.linkSince < from->silentSince;
        if (!sent || std::max(next.at, replica.linkSince) + replica.delay > now) {
            break;
        }
        replica.log.push_back(next);
    }
    replica.term = std::max(replica.term, from->term);
}

asio::awaitable<void> bed::replicate()
{
    std::map<std::string, instant> reachableSince;
    while (true) {
        const instant now = steady::now();
        database *leads = primary();
        for (auto &[name, entry] : m_databases) {
            database &one = *entry;
            if (!one.primary) {
                receive(one, now);
            }
            const bool reaches = one.replaced && leads != nullptr && one.running && !one.dark && !one.cutFromReplicas;
            if (!reaches) {
                reachableSince.erase(name);
            } else if (now - reachableSince.try_emplace(name, now).first->second >= discoveryTime) {
                one.primary = false;
                one.replaced = false;
                m_record.write("database " + name + " learns that it was replaced");
                publish(one);
            }
        }
        co_await sleepFor(pollInterval);
    }
}

void bed::promote(const std::string &successor)
{
    database &chosen = byName(successor);
    if (!chosen.running || chosen.dark || (chosen.primary && !chosen.replaced)) {
        m_record.write("platform: " + successor + " is not promoted: it " + (chosen.primary ? "leads" : "doesn't run"));
        return;
    }
    promotion result{steady::now(), successor, {}};
    std::set<std::string> held;
    unsigned highest = 0;
    for (const log_commit &commit : chosen.log) {
        held.insert(commit.ids.begin(), commit.ids.end());
    }
    for (const auto &[id, at] : m_acknowledged) {
        if (m_options.syncReplicas > 0 && !held.contains(id)) {
            result.lost.push_back(id);
        }
    }
    for (auto &[name, entry] : m_databases) {
        database &one = *entry;
        highest = std::max({highest, one.term, one.pausedUntil});
        one.pausedUntil = 0;
        if (!one.primary || &one == &chosen) {
            continue;
        }
        if (m_options.fenced) {
            one.primary = false;
        } else {
            one.replaced = true;
        }
    }
    chosen.primary = true;
    chosen.replaced = false;
    chosen.term = highest + 1;
    m_record.write("platform: " + successor + " leads term " + std::to_string(chosen.term) + " from " + positionOf(chosen) + " on");
    if (m_options.syncReplicas > 0) {
        m_record.write("acknowledged commits that its log lacks: " + std::to_string(result.lost.size()));
    }
    for (const std::string &id : result.lost) {
        m_record.write("  missing: " + id);
    }
    m_promotions.push_back(std::move(result));
    for (auto &[name, entry] : m_databases) {
        publish(*entry);
    }
}

database &bed::addDatabase(const std::string &name, const std::string &zone, millis delay, bool primary)
{
    auto added = std::make_unique<database>();
    added->name = name;
    added->zone = zone;
    added->delay = delay;
    added->primary = primary;
    added->born =
        static_cast<std::uint64_t>(std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch()).count());
    database &result = *added;
    m_databases[name] = std::move(added);
    listen(result);
    return result;
}

void bed::crash(database &which)
{
    m_record.write("database " + which.name + " ends at " + positionOf(which));
    which.running = false;
    which.silentSince = steady::now();
    which.acceptor.reset();
    for (const std::shared_ptr<tcp::socket> &socket : which.sockets) {
        asio::error_code ignored;
        socket->close(ignored);
    }
}

void bed::setDark(database &which, bool dark)
{
    m_record.write("database " + which.name + (dark ? " goes dark at " : " is back at ") + positionOf(which));
    which.dark = dark;
    which.silentSince = dark ? steady::now() : instant{};
    if (!dark) {
        publish(which);
    }
}

void bed::join(const std::string &name, const std::string &zone, millis delay)
{
    database &added = addDatabase(name, zone, delay, false);
    if (const database *from = primary()) {
        added.log = from->log;
        added.term = from->term;
    }
    publish(added);
    m_record.write("database " + name + " starts with the primary's log, at " + positionOf(added));
}

void bed::drain(database &which)
{
    m_record.write("database " + which.name + " is draining");
    which.draining = true;
    publish(which);
}

void bed::finishDraining(database &which)
{
    const std::vector<log_commit> log = which.log;
    crash(which);
    remove("servers", which.name);
    database &next = *(m_databases[which.name + "n"] = std::make_unique<database>());
    next.name = which.name + "n";
    next.zone = which.zone;
    next.delay = which.delay;
    next.address = which.address;
    next.log = log;
    next.term = which.term;
    next.born = which.born + 1;
    listen(next);
    publish(next);
    m_record.write("database " + next.name + " has its log and address");
}

database &bed::byName(const std::string &name)
{
    return *m_databases.at(name);
}

std::vector<const database *> bed::databases() const
{
    std::vector<const database *> all;
    for (const auto &[name, one] : m_databases) {
        all.push_back(one.get());
    }
    return all;
}

database *bed::primary()
{
    for (auto &[name, one] : m_databases) {
        if (one->primary && !one->replaced) {
            return one.get();
        }
    }
    return nullptr;
}

} // namespace review
