#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <random>
#include <utility>

namespace standin3
{

namespace
{

constexpr milliseconds handshake(12);
constexpr milliseconds statementWork(8);
constexpr milliseconds replicaLag(20);
constexpr int term = 3;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return descriptor;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// The text of a member of a JSON object: a number, a string without escapes, or a whole object.
std::string memberOf(const std::string &text, const std::string &name)
{
    const std::size_t key = text.find('"' + name + '"');
    if (key == std::string::npos) {
        return {};
    }
    std::size_t at = text.find(':', key) + 1;
    while (at < text.size() && text[at] == ' ') {
        ++at;
    }
    if (text[at] == '"') {
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    }
    std::size_t end = at;
    int depth = 0;
    bool quoted = false;
    for (; end < text.size(); ++end) {
        const char letter = text[end];
        quoted = letter == '"' ? !quoted : quoted;
        if (quoted) {
            continue;
        }
        depth += letter == '{' || letter == '[' ? 1 : 0;
        if (depth == 0 && (letter == ',' || letter == '}')) {
            break;
        }
        depth -= letter == '}' || letter == ']' ? 1 : 0;
        if (depth == 0 && (letter == '}' || letter == ']')) {
            ++end;
            break;
        }
    }
    return text.substr(at, end - at);
}

} // namespace

event_loop::~event_loop()
{
    for (const stream_ref &one : m_streams) {
        ::close(one->descriptor);
    }
    for (const listener &one : m_listeners) {
        ::close(one.descriptor);
    }
}

listener &event_loop::listen(std::function<void(const stream_ref &)> onAccepted)
{
    const int descriptor = openSocket();
    const sockaddr_in address = loopback(0);
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::listen(descriptor, 256);
    m_listeners.push_back({descriptor, portOf(descriptor), std::move(onAccepted)});
    return m_listeners.back();
}

stream_ref event_loop::connect(std::uint16_t port)
{
    const auto added = std::make_shared<stream>();
    added->descriptor = openSocket();
    const sockaddr_in address = loopback(port);
    ::connect(added->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    m_streams.push_back(added);
    return added;
}

void event_loop::close(const stream_ref &which)
{
    if (which->descriptor < 0) {
        return;
    }
    ::close(which->descriptor);
    which->descriptor = -1;
    const auto callback = std::exchange(which->onClosed, nullptr);
    which->onInput = nullptr;
    if (callback) {
        callback();
    }
}

void event_loop::after(milliseconds wait, std::function<void()> what)
{
    m_timers.emplace(clock_type::now() + wait, std::move(what));
}

bool event_loop::runUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const time_point end = clock_type::now() + limit;
    while (clock_type::now() < end) {
        if (condition()) {
            return true;
        }
        step();
    }
    return condition();
}

void event_loop::runFor(milliseconds span)
{
    runUntil(
        [] {
            return false;
        },
        span);
}

void event_loop::receive(const stream_ref &from)
{
    char buffer[65536];
    const ssize_t size = ::recv(from->descriptor, buffer, sizeof buffer, 0);
    if (size > 0) {
        from->input.append(buffer, static_cast<std::size_t>(size));
        if (from->onInput) {
            const auto handle = from->onInput;
            handle(*from);
        }
    } else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
        close(from);
    }
}

void event_loop::send(const stream_ref &to)
{
    const ssize_t size = ::send(to->descriptor, to->output.data(), to->output.size(), MSG_NOSIGNAL);
    if (size > 0) {
        to->output.erase(0, static_cast<std::size_t>(size));
    } else if (size < 0 && errno != EAGAIN && errno != EINTR) {
        close(to);
        return;
    }
    if (to->output.empty() && to->closesAfterOutput) {
        close(to);
    }
}

void event_loop::step()
{
    std::erase_if(m_streams, [](const stream_ref &one) {
        return one->descriptor < 0;
    });
    std::vector<pollfd> polled;
    const std::vector<stream_ref> streams = m_streams;
    const std::size_t listeners = m_listeners.size();
    for (const listener &one : m_listeners) {
        polled.push_back({one.descriptor, POLLIN, 0});
    }
    for (const stream_ref &one : streams) {
        const short events = one->silent ? 0 : static_cast<short>(POLLIN | (one->output.empty() ? 0 : POLLOUT));
        polled.push_back({one->silent ? -1 : one->descriptor, events, 0});
    }
    const time_point now = clock_type::now();
    int wait = 20;
    if (!m_timers.empty()) {
        const auto left = std::chrono::ceil<milliseconds>(m_timers.begin()->first - now).count();
        wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, wait));
    }
    ::poll(polled.data(), polled.size(), wait);
    for (std::size_t index = 0; index < listeners; ++index) {
        if ((polled[index].revents & POLLIN) == 0) {
            continue;
        }
        const int accepted = ::accept4(m_listeners[index].descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            const int yes = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            const auto added = std::make_shared<stream>();
            added->descriptor = accepted;
            m_streams.push_back(added);
            m_listeners[index].onAccepted(added);
        }
    }
    for (std::size_t index = 0; index < streams.size(); ++index) {
        const stream_ref &one = streams[index];
        const short events = polled[listeners + index].revents;
        if (one->descriptor >= 0 && (events & POLLOUT) != 0) {
            send(one);
        }
        if (one->descriptor >= 0 && (events & (POLLIN | POLLHUP | POLLERR)) != 0) {
            receive(one);
        }
    }
    while (!m_timers.empty() && m_timers.begin()->first <= clock_type::now()) {
        const auto what = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        what();
    }
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to outgoing connections. The port before it is free, too.
    static std::mt19937 random(std::random_device{}());
    static std::set<std::uint16_t> given;
    const auto isFree = [](std::uint16_t port) {
        const int descriptor = openSocket();
        const sockaddr_in address = loopback(port);
        const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(descriptor);
        return bound;
    };
    while (true) {
        const auto port = static_cast<std::uint16_t>(12'001 + random() % 9'000 * 2);
        if (given.insert(port).second && isFree(port) && isFree(port - 1)) {
            return port;
        }
    }
}

bool takeLine(std::string &input, std::string &line)
{
    const std::size_t end = input.find("\r\n");
    if (end == std::string::npos) {
        return false;
    }
    line = input.substr(0, end);
    input.erase(0, end + 2);
    return true;
}

std::string takeWord(std::string &text)
{
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

object_store::object_store(event_loop &loop)
    : m_loop(loop)
{
    m_orderPort = addPort();
}

std::uint16_t object_store::addPort()
{
    const auto port = std::make_shared<std::uint16_t>(0);
    const listener &added = m_loop.listen([this, port](const stream_ref &accepted) {
        accepted->silent = m_cut.contains(*port);
        std::erase_if(m_byPort[*port], [](const auto &one) {
            return one.expired();
        });
        m_byPort[*port].push_back(accepted);
        accepted->onInput = [this](stream &client) {
            serve(client);
        };
    });
    *port = added.port;
    return *port;
}

std::uint16_t object_store::orderPort() const
{
    return m_orderPort;
}

void object_store::setReachable(std::uint16_t port, bool reachable)
{
    if (!reachable) {
        m_cut.insert(port);
    } else {
        m_cut.erase(port);
    }
    for (const std::weak_ptr<stream> &weak : m_byPort[port]) {
        if (const stream_ref one = weak.lock()) {
            one->silent = !reachable;
            if (reachable) {
                m_loop.close(one);
            }
        }
    }
}

void object_store::serve(stream &client)
{
    const std::size_t end = client.input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    const std::string head = client.input.substr(0, end + 2);
    std::size_t length = 0;
    std::string lower = head;
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
        return std::tolower(letter);
    });
    if (const std::size_t at = lower.find("content-length:"); at != std::string::npos) {
        length = std::strtoul(lower.c_str() + at + 15, nullptr, 10);
    }
    if (client.input.size() < end + 4 + length) {
        return;
    }
    request call;
    call.body = client.input.substr(end + 4, length);
    client.input.erase(0, end + 4 + length);
    std::string first = head.substr(0, head.find("\r\n"));
    call.method = takeWord(first);
    std::string target = takeWord(first);
    const std::size_t question = target.find('?');
    call.path = target.substr(0, question);
    std::string query = question == std::string::npos ? std::string() : target.substr(question + 1);
    while (!query.empty()) {
        const std::size_t next = query.find('&');
        const std::string item = query.substr(0, next);
        call.query[item.substr(0, item.find('='))] = item.substr(item.find('=') + 1);
        query.erase(0, next == std::string::npos ? query.size() : next + 1);
    }
    // The store takes 4 ms to answer.
    m_loop.after(milliseconds(4), [this, link = client.shared_from_this(), call] {
        answer(link, call);
    });
}

void object_store::respond(const stream_ref &client, int status, const std::string &body)
{
    client->output += "HTTP/1.1 " + std::to_string(status)
                      + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string object_store::textOf(const std::string &name, const object &one) const
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(one.revision) + R"(,"created":)"
           + std::to_string(one.created) + R"(,"finalizers":[],"marked_for_deletion":false},"spec":)" + one.content + R"(,"status":{}})";
}

void object_store::write(const std::string &kind, const std::string &name, const std::string &content)
{
    object &one = m_objects[kind][name];
    if (one.revision != 0 && one.content == content) {
        return;
    }
    one.revision = ++m_revision;
    one.created = one.created == 0 ? one.revision : one.created;
    one.content = content;
    m_changes.push_back({m_revision, kind, R"({"object":)" + textOf(name, one) + R"(,"deleted":false})"});
}

void object_store::put(const std::string &kind, const std::string &name, const std::string &content)
{
    write(kind, name, content);
}

void object_store::watch(const stream_ref &client, const std::string &kind, std::uint64_t since, time_point until)
{
    if (client->descriptor < 0) {
        return;
    }
    std::string events;
    for (const change &one : m_changes) {
        if (one.revision > since && one.kind == kind) {
            events += (events.empty() ? "" : ",") + one.event;
        }
    }
    if (events.empty() && clock_type::now() < until) {
        m_loop.after(milliseconds(3), [this, client, kind, since, until] {
            watch(client, kind, since, until);
        });
        return;
    }
    respond(client, 200, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(m_revision) + "}");
}

void object_store::answer(const stream_ref &client, const request &call)
{
    if (client->descriptor < 0 || client->silent) {
        return;
    }
    const std::string prefix = "/v1/objects/";
    if (call.path == "/failover") {
        orders.push_back(call.body);
        respond(client, 409, "{}");
        return;
    }
    if (!call.path.starts_with(prefix)) {
        respond(client, 404, "{}");
        return;
    }
    std::string kind = call.path.substr(prefix.size());
    std::string name;
    if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.erase(slash);
    }
    auto &objects = m_objects[kind];
    if (call.method == "GET" && !name.empty()) {
        const auto found = objects.find(name);
        respond(client, found == objects.end() ? 404 : 200, found == objects.end() ? "{}" : textOf(name, found->second));
    } else if (call.method == "GET" && call.query.contains("watch")) {
        const auto wait = milliseconds(std::strtoul(call.query.at("wait_ms").c_str(), nullptr, 10));
        watch(client, kind, std::strtoull(call.query.at("watch").c_str(), nullptr, 10), clock_type::now() + wait);
    } else if (call.method == "GET") {
        std::string items;
        for (const auto &[itemName, one] : objects) {
            items += (items.empty() ? "" : ",") + textOf(itemName, one);
        }
        respond(client, 200, R"({"items":[)" + items + R"(],"has_more":false,"as_of":)" + std::to_string(m_revision) + "}");
    } else if (call.method == "POST" || call.method == "PUT") {
        const std::string meta = memberOf(call.body, "meta");
        name = name.empty() ? memberOf(meta, "name") : name;
        const auto found = objects.find(name);
        const std::string expected = memberOf(meta, "revision");
        const bool exists = found != objects.end();
        const bool stale = exists && !expected.empty() && std::strtoull(expected.c_str(), nullptr, 10) != found->second.revision;
        if (call.method == "PUT" && !exists) {
            respond(client, 404, "{}");
            return;
        }
        if ((call.method == "POST" && exists) || stale) {
            respond(client, 409, textOf(name, found->second));
            return;
        }
        write(kind, name, memberOf(call.body, "spec"));
        respond(client, call.method == "POST" ? 201 : 200, textOf(name, objects.at(name)));
    } else if (call.method == "DELETE") {
        const auto found = objects.find(name);
        if (found == objects.end()) {
            respond(client, 404, "{}");
            return;
        }
        found->second.revision = ++m_revision;
        m_changes.push_back({m_revision, kind, R"({"object":)" + textOf(name, found->second) + R"(,"deleted":true})"});
        objects.erase(found);
        respond(client, 200, "{}");
    } else {
        respond(client, 404, "{}");
    }
}

service::service(event_loop &loop, std::string name, std::size_t maxConnections)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_maxConnections(maxConnections)
    , m_lag(replicaLag)
{
}

void service::addDatabase(const std::string &id, const std::string &zone, bool primary)
{
    m_databases.push_back({id, zone, primary, 0, {}});
    database &added = m_databases.back();
    added.port = m_loop
                     .listen([this, &added](const stream_ref &accepted) {
                         const auto one = std::make_shared<session>();
                         one->link = accepted;
                         one->at = &added;
                         added.callers[accepted.get()] = "";
                         accepted->onClosed = [&added, key = accepted.get()] {
                             added.callers.erase(key);
                         };
                         accepted->onInput = [this, one](stream &from) {
                             std::string line;
                             while (takeLine(from.input, line)) {
                                 one->lines.push_back(line);
                             }
                             next(one);
                         };
                     })
                     .port;
}

void service::fill(std::size_t commits)
{
    for (std::size_t index = 0; index < commits; ++index) {
        m_log.push_back({"before", "-", {}});
    }
}

void service::setLag(milliseconds lag)
{
    m_lag = lag;
}

std::size_t service::length() const
{
    return m_log.size();
}

void service::publish(object_store &store) const
{
    for (const database &one : m_databases) {
        store.put("servers",
                  one.id,
                  R"({"service":")" + m_name + R"(","address":"127.0.0.1:)" + std::to_string(one.port) + R"(","zone":")" + one.zone
                      + R"(","version":"1","slots":4,"state":"ready","warmup_left_ms":0,"sequence":1,"db_role":")"
                      + (one.primary ? "primary" : "replica") + R"(","born":1700000000000})");
    }
}

const std::string &service::name() const
{
    return m_name;
}

std::size_t service::maxConnections() const
{
    return m_maxConnections;
}

std::set<std::string> service::connectedInstances() const
{
    std::set<std::string> names;
    for (const database &one : m_databases) {
        for (const auto &[link, caller] : one.callers) {
            names.insert(caller);
        }
    }
    names.erase("");
    return names;
}

std::size_t service::appliedAt(const database &where) const
{
    if (where.primary) {
        return m_log.size();
    }
    const time_point until = clock_type::now() - m_lag;
    return static_cast<std::size_t>(std::ranges::count_if(m_log, [&](const entry &one) {
        return one.at <= until;
    }));
}

void service::next(const session_ref &one)
{
    if (one->busy || one->lines.empty()) {
        return;
    }
    one->busy = true;
    const std::string line = one->lines.front();
    one->lines.pop_front();
    if (!one->started) {
        m_loop.after(handshake, [this, one, line] {
            start(one, line);
        });
        return;
    }
    const bool works = line.find(" READ ") != std::string::npos || line.find(" WRITE ") != std::string::npos
                       || line.find(" EXECUTE ") != std::string::npos || line.ends_with(" COMMIT") || line.ends_with(" STATUS");
    m_loop.after(works ? statementWork : milliseconds(0), [this, one, line] {
        execute(one, line);
    });
}

void service::start(const session_ref &one, std::string line)
{
    const stream_ref link = one->link.lock();
    if (!link || link->descriptor < 0) {
        return;
    }
    const std::string word = takeWord(line);
    const std::string wanted = takeWord(line);
    const std::string caller = takeWord(line);
    const bool wrong = word != "STARTUP" || wanted != m_name || (!line.empty() && line != one->at->id);
    if (wrong || one->at->callers.size() > m_maxConnections) {
        link->output += std::string("ERROR ") + (wrong ? "MISROUTED " : "TOOMANY ") + one->at->id + "\r\n";
        link->closesAfterOutput = true;
        return;
    }
    one->started = true;
    one->at->callers[link.get()] = caller;
    reply(one, "");
}

void service::reply(const session_ref &one, const std::string &text)
{
    if (const stream_ref link = one->link.lock(); link && link->descriptor >= 0) {
        const char *state = one->failed ? "E" : one->inTransaction ? "T" : "I";
        link->output += text + "READY " + state + " " + std::to_string(term) + "." + std::to_string(appliedAt(*one->at)) + "\r\n";
    }
    one->busy = false;
    m_loop.after(milliseconds(0), [this, one] {
        next(one);
    });
}

void service::execute(const session_ref &one, const std::string &line)
{
    const stream_ref link = one->link.lock();
    if (!link || link->descriptor < 0) {
        return;
    }
    std::string rest = line;
    takeWord(rest);
    const std::string id = takeWord(rest);
    std::size_t floor = 0;
    if (rest.starts_with("AFTER ")) {
        takeWord(rest);
        const std::string position = takeWord(rest);
        floor = std::strtoul(position.c_str() + position.find('.') + 1, nullptr, 10);
    }
    const std::string text = rest;
    std::string verb = takeWord(rest);
    const std::string name = one->at->id;
    const auto refuse = [&](const std::string &code) {
        one->failed = one->inTransaction;
        reply(one, "ERROR " + code + " " + name + "\r\n");
    };
    if (floor > appliedAt(*one->at)) {
        refuse("LAGGING");
        return;
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        const std::string position = std::to_string(term) + "." + std::to_string(appliedAt(*one->at));
        reply(one,
              std::string("DATAROW ") + (one->at->primary ? "primary " : "replica ") + std::to_string(term) + " " + position + " 0 0 1 "
                  + std::to_string(one->at->callers.size()) + "\r\nCOMPLETE -\r\n");
        return;
    }
    if (verb == "ROLLBACK") {
        one->inTransaction = one->failed = false;
        one->writes.clear();
        reply(one, "COMPLETE -\r\n");
        return;
    }
    if (one->failed) {
        refuse("MALFORMED");
        return;
    }
    if (verb == "BEGIN") {
        if (rest.empty() && !one->at->primary) {
            refuse("READONLY");
            return;
        }
        one->inTransaction = true;
        one->reads = !rest.empty();
        reply(one, "COMPLETE -\r\n");
        return;
    }
    if (verb == "PREPARE") {
        const std::string statement = takeWord(rest);
        one->prepared[statement] = rest;
    }
    if (verb == "DISCARD") {
        one->prepared.clear();
    }
    if (verb == "SET" || verb == "PREPARE" || verb == "DISCARD" || verb == "DEALLOCATE") {
        reply(one, "COMPLETE -\r\n");
        return;
    }
    if (verb == "EXECUTE") {
        const std::string statement = takeWord(rest);
        if (!one->prepared.contains(statement)) {
            refuse("NOSTMT");
            return;
        }
        verb = one->prepared.at(statement).starts_with("WRITE") ? "WRITE" : "READ";
    }
    if ((verb == "WRITE" && (!one->at->primary || (one->inTransaction && one->reads)))) {
        refuse("READONLY");
        return;
    }
    runs.push_back({id, text, m_name, name, one->at->callers[link.get()], clock_type::now(), appliedAt(*one->at)});
    const std::string complete = "COMPLETE s" + std::to_string(++m_signatures) + "." + m_name + "\r\n";
    if (verb == "WRITE") {
        const std::string item = takeWord(rest);
        if (one->inTransaction) {
            one->writes.emplace_back(item, rest);
        } else {
            m_log.push_back({item, rest, clock_type::now()});
        }
        reply(one, complete);
    } else if (verb == "COMMIT") {
        for (const auto &[item, data] : one->writes) {
            m_log.push_back({item, data, clock_type::now()});
        }
        one->writes.clear();
        one->inTransaction = false;
        reply(one, complete);
    } else {
        std::string row = "none";
        const std::size_t applied = appliedAt(*one->at);
        for (std::size_t index = 0; index < applied; ++index) {
            row = m_log[index].item == rest ? m_log[index].data : row;
        }
        reply(one, "DATAROW " + row + "\r\n" + complete);
    }
}

client::client(event_loop &loop, std::uint16_t port, std::string database)
    : m_loop(loop)
    , m_link(loop.connect(port))
{
    m_link->output = "STARTUP " + database + " u1\r\n";
    m_link->onInput = [this](stream &from) {
        onInput(from);
    };
    m_link->onClosed = [this] {
        m_open = false;
        if (const auto callback = std::exchange(m_onAnswer, nullptr)) {
            client_answer lost;
            lost.closed = true;
            callback(lost);
        }
    };
}

bool client::isOpen() const
{
    return m_open;
}

void client::close()
{
    m_onAnswer = nullptr;
    m_link->onClosed = nullptr;
    m_link->onInput = nullptr;
    m_loop.close(m_link);
    m_open = false;
}

void client::ask(const std::string &id, const std::string &text, std::function<void(const client_answer &)> onAnswer)
{
    m_answer = {};
    m_onAnswer = std::move(onAnswer);
    const std::string line = "QUERY " + id + " " + text + "\r\n";
    if (m_ready) {
        m_link->output += line;
    } else {
        m_waiting = line;
    }
}

void client::onInput(stream &from)
{
    std::string line;
    while (m_open && takeLine(from.input, line)) {
        const std::string word = takeWord(line);
        if (word == "DATAROW") {
            m_answer.rows.push_back(line);
        } else if (word == "ERROR") {
            m_answer.code = takeWord(line);
        } else if (word == "READY" && !m_ready) {
            m_ready = true;
            m_link->output += std::exchange(m_waiting, {});
        } else if (word == "READY") {
            takeWord(line);
            m_answer.position = line;
            if (const auto callback = std::exchange(m_onAnswer, nullptr)) {
                callback(m_answer);
            }
        }
    }
}

bool startInstance(
    instance &one, const std::string &program, const std::string &folder, const std::vector<std::string> &zones, std::uint16_t orderPort)
{
    one.clientPort = freePort();
    one.readinessPort = freePort();
    one.relayPort = freePort();
    const auto at = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::string places;
    for (const std::string &zone : zones) {
        places += (places.empty() ? "\"" : ",\"") + zone + R"(":"north")";
    }
    const std::string path = folder + "/" + one.name + ".json";
    // The instance takes relayed statements at the second of the internal ports.
    std::ofstream(path) << R"({"node_name":")" << one.name
                        << R"(","role":"edge","machine_class":"edge","serves":["edge"],"ip":"127.0.0.1","zone":")" << one.zone
                        << R"(","region":"north","zones":{)" << places << R"(},"bind_addrs":{"frontend":)" << at(one.clientPort)
                        << R"(,"readiness":)" << at(one.readinessPort) << R"(},"internal_ports":[)" << one.relayPort - 1 << ","
                        << one.relayPort << R"(],"bootstrap":true,"discovery":"platform","entry":"vip","heartbeat_ms":1200,)"
                        << R"("limits":{"cpu_share":0.3,"cores":1,"memory_mb":400,"max_fds":8192,"link_mbps":200.0,"disk_mb":0},)"
                        << R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":6000,"ack_ms":10000,"catch_up_s":6,)"
                        << R"("drain_ms":10000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":6000,"downgrade_ms":250,)"
                        << R"("outer_ms":20000,"recover_s":15,"require_fencing":true,"thaw_ms":300},)"
                        << R"("platform":{"address":)" << at(one.storePort)
                        << R"(,"form":"objects","writes_per_s":1200,"reads_per_s":6000,"history_s":20,"value_bytes":1048576},)"
                        << R"("provider_api":{"address":)" << at(orderPort)
                        << R"(,"rate_per_s":50.0,"duties":["failover"],"duty_per_s":50.0}})"
                        << "\n";
    one.process = ::fork();
    if (one.process == 0) {
        const int log = ::open((folder + "/" + one.name + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("MUSTARDROUTER_SETTINGS", path.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "edge", nullptr);
        ::_exit(127);
    }
    return one.process > 0;
}

void stopInstance(instance &one)
{
    if (one.process > 0) {
        ::kill(one.process, SIGKILL);
        ::waitpid(one.process, nullptr, 0);
        one.process = -1;
    }
}

bool isReady(const instance &one)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(one.readinessPort);
    const timeval limit{0, 300000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string answer(512, '\0');
    ssize_t size = 0;
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const std::string request = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
        ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
        size = ::recv(descriptor, answer.data(), answer.size(), 0);
    }
    ::close(descriptor);
    return size > 12 && answer.substr(9, 3) == "200";
}

} // namespace standin3
