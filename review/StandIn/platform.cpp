#include "bed.h"

#include <algorithm>
#include <sstream>

namespace review
{

namespace
{

constexpr auto storeAnswerTime = 4ms;
constexpr auto pollInterval = 4ms;
constexpr auto heartbeatInterval = 1200ms;
constexpr int heartbeatsOfSilence = 3;
const std::string foreignMark = "\"@foreign@\"";

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value fromText(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::map<std::string, std::string> queryOf(std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    std::stringstream parts(target.substr(mark + 1));
    target.erase(mark);
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? std::string() : part.substr(equals + 1);
    }
    return query;
}

} // namespace

recorder::recorder(const std::string &path)
    : m_file(path)
{
}

double recorder::seconds() const
{
    return std::chrono::duration<double>(steady::now() - m_startedAt).count();
}

void recorder::write(const std::string &what)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    m_file << time << what << '\n';
    m_file.flush();
}

asio::awaitable<void> sleepFor(steady::duration span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> sleepUntil(instant due)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, due);
    co_await timer.async_wait(asio::use_awaitable);
}

std::uint16_t bed::listenHttp(std::size_t index, bool orders)
{
    auto acceptor = std::make_shared<tcp::acceptor>(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::uint16_t port = acceptor->local_endpoint().port();
    asio::co_spawn(m_context, acceptHttp(acceptor, index, orders), asio::detached);
    return port;
}

asio::awaitable<void> bed::acceptHttp(std::shared_ptr<tcp::acceptor> acceptor, std::size_t index, bool orders)
{
    while (true) {
        tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(m_context, serveHttp(std::move(socket), index, orders), asio::detached);
    }
}

asio::awaitable<void> bed::serveHttp(tcp::socket socket, std::size_t index, bool orders)
{
    std::string buffer;
    try {
        while (true) {
            http_request request;
            std::string first = co_await readLine(socket, buffer);
            request.method = takeWord(first);
            request.target = takeWord(first);
            for (std::string line = co_await readLine(socket, buffer); !line.empty(); line = co_await readLine(socket, buffer)) {
                const std::size_t colon = line.find(':');
                std::string name = line.substr(0, colon);
                std::ranges::transform(name, name.begin(), [](unsigned char letter) {
                    return std::tolower(letter);
                });
                request.headers[name] = line.substr(line.find_first_not_of(' ', colon + 1));
            }
            const std::size_t size = request.headers.contains("content-length") ? std::stoul(request.headers["content-length"]) : 0;
            if (buffer.size() < size) {
                co_await asio::async_read(
                    socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(size - buffer.size()), asio::use_awaitable);
            }
            request.body = buffer.substr(0, size);
            buffer.erase(0, size);
            while (!orders && m_instances[index].cutFromStore) {
                co_await sleepFor(pollInterval);
            }
            co_await sleepFor(storeAnswerTime);
            http_answer answer;
            if (orders) {
                answer = answerOrder(request);
            } else {
                answer = co_await answerStore(request, index);
            }
            while (!orders && m_instances[index].cutFromStore) {
                co_await sleepFor(pollInterval);
            }
            for (std::size_t at = answer.body.find(foreignMark); at != std::string::npos; at = answer.body.find(foreignMark)) {
                answer.body.replace(at, foreignMark.size(), m_foreignText);
            }
            const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                                     + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size())
                                     + "\r\n\r\n" + answer.body;
            co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        }
    } catch (const std::exception &) {
        // The connection has ended.
    }
}

Json::Value bed::objectOf(const std::string &name, const stored &object) const
{
    Json::Value value;
    value["meta"]["name"] = name;
    value["meta"]["revision"] = Json::UInt64(object.revision);
    value["meta"]["created"] = Json::UInt64(object.created);
    value["meta"]["finalizers"] = Json::arrayValue;
    value["meta"]["marked_for_deletion"] = false;
    value["spec"] = object.spec;
    value["status"] = Json::objectValue;
    return value;
}

void bed::put(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    const auto [found, added] = m_objects[kind].try_emplace(name);
    if (!added && found->second.spec == spec) {
        return;
    }
    m_revision += 1;
    found->second.spec = spec;
    found->second.revision = m_revision;
    found->second.created = added ? m_revision : found->second.created;
    m_events.push_back({m_revision, kind, objectOf(name, found->second), false, steady::now()});
}

void bed::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        return;
    }
    m_revision += 1;
    m_events.push_back({m_revision, kind, objectOf(name, found->second), true, steady::now()});
    m_objects[kind].erase(found);
}

asio::awaitable<bed::http_answer> bed::watch(const std::string &kind, std::map<std::string, std::string> query, std::size_t index)
{
    const std::uint64_t since = std::stoull(query["watch"]);
    const instant until = steady::now() + millis(std::stoul(query["wait_ms"]));
    const millis staleness = query.contains("allow_stale") ? m_instances[index].staleness : millis{};
    Json::Value body;
    body["events"] = Json::arrayValue;
    std::uint64_t asOf = since;
    while (true) {
        const instant visible = steady::now() - staleness;
        for (const event &one : m_events) {
            if (one.revision <= since || one.at > visible) {
                continue;
            }
            asOf = std::max(asOf, one.revision);
            if (one.kind == kind) {
                Json::Value entry;
                entry["deleted"] = one.removed;
                entry["object"] = one.object;
                body["events"].append(entry);
            }
        }
        if (!body["events"].empty() || steady::now() >= until) {
            break;
        }
        co_await sleepFor(pollInterval);
    }
    body["as_of"] = Json::UInt64(asOf);
    co_return http_answer{200, toText(body)};
}

asio::awaitable<bed::http_answer> bed::answerStore(http_request request, std::size_t index)
{
    std::string target = request.target;
    std::map<std::string, std::string> query = queryOf(target);
    const std::string prefix = "/v1/objects/";
    if (!target.starts_with(prefix)) {
        co_return http_answer{404, "{}"};
    }
    target.erase(0, prefix.size());
    const std::size_t slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : target.substr(slash + 1);
    std::map<std::string, stored> &objects = m_objects[kind];
    if (request.method == "GET" && name.empty() && query.contains("watch")) {
        http_answer changes = co_await watch(kind, std::move(query), index);
        co_return changes;
    }
    if (request.method == "GET" && name.empty()) {
        Json::Value body;
        body["items"] = Json::arrayValue;
        for (const auto &[objectName, object] : objects) {
            if (objectName > query["after"]) {
                body["items"].append(objectOf(objectName, object));
            }
        }
        body["has_more"] = false;
        body["as_of"] = Json::UInt64(m_revision);
        co_return http_answer{200, toText(body)};
    }
    const auto found = objects.find(name);
    if (request.method == "GET") {
        if (found == objects.end()) {
            co_return http_answer{404, "{}"};
        }
        co_return http_answer{200, toText(objectOf(name, found->second))};
    }
    const Json::Value sent = fromText(request.body);
    if (request.method == "POST") {
        const std::string added = sent["meta"]["name"].asString();
        if (const auto existing = objects.find(added); existing != objects.end()) {
            co_return http_answer{409, toText(objectOf(added, existing->second))};
        }
        put(kind, added, sent["spec"]);
        m_record.write("store: " + kind + "/" + added + " created: " + toText(sent["spec"]));
        co_return http_answer{201, toText(objectOf(added, objects.at(added)))};
    }
    if (found == objects.end()) {
        co_return http_answer{404, "{}"};
    }
    if (sent["meta"].isMember("revision") && sent["meta"]["revision"].asUInt64() != found->second.revision) {
        co_return http_answer{409, toText(objectOf(name, found->second))};
    }
    if (request.method == "PUT") {
        put(kind, name, sent["spec"]);
        m_record.write("store: " + kind + "/" + name + " replaced: " + toText(sent["spec"]));
    }
    co_return http_answer{200, toText(objectOf(name, found->second))};
}

bed::http_answer bed::answerOrder(const http_request &request)
{
    const Json::Value sent = fromText(request.body);
    order given;
    given.at = steady::now();
    given.successor = sent["id"].asString();
    const auto holder = request.headers.find("duty-holder");
    const auto token = request.headers.find("fencing-token");
    given.holder = holder == request.headers.end() ? std::string() : holder->second;
    given.token = token == request.headers.end() ? 0 : std::stoull(token->second);
    const auto known = m_databases.find(given.successor);
    const bool runs = known != m_databases.end() && known->second->running && !known->second->dark;
    given.status = (m_options.fenced && given.token < m_highestToken) || !runs ? 409 : 200;
    m_record.write("platform: POST /failover " + given.successor + " by " + given.holder + ", token " + std::to_string(given.token)
                   + ", highest before " + std::to_string(m_highestToken) + ": " + std::to_string(given.status));
    m_highestToken = std::max(m_highestToken, given.token);
    m_orders.push_back(given);
    if (given.status == 200) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.promoteTime);
        timer->async_wait([this, timer, successor = given.successor](const asio::error_code &) {
            promote(successor);
        });
    }
    return {given.status, "{}"};
}

void bed::publish(database &which)
{
    if (!which.running || which.dark) {
        return;
    }
    Json::Value spec;
    spec["service"] = "scripts";
    spec["address"] = which.address;
    spec["zone"] = which.zone;
    spec["version"] = "v1";
    spec["slots"] = Json::UInt(m_options.slots);
    spec["state"] = which.draining ? "draining" : "ready";
    spec["warmup_left_ms"] = 0;
    spec["db_role"] = which.primary ? "primary" : "replica";
    spec["born"] = Json::UInt64(which.born);
    spec["sequence"] = Json::UInt64(which.sequence);
    const auto known = m_objects["servers"].find(which.name);
    if (known != m_objects["servers"].end() && known->second.spec == spec) {
        return;
    }
    which.sequence += 1;
    spec["sequence"] = Json::UInt64(which.sequence);
    put("servers", which.name, spec);
}

void bed::writeForeignEntry(const std::string &name, const std::string &text)
{
    Json::Value spec;
    spec["service"] = "scripts";
    spec["state"] = "ready";
    spec["note"] = "@foreign@";
    m_foreignText = text;
    put("servers", name, spec);
    m_record.write("store: another writer writes servers/" + name + ", with the field note: " + text);
}

asio::awaitable<void> bed::heartbeat()
{
    while (true) {
        for (auto &[name, entry] : m_databases) {
            publish(*entry);
            const bool silent = entry->silentSince != instant{} && (entry->dark || !entry->running);
            if (silent && steady::now() - entry->silentSince > heartbeatInterval * heartbeatsOfSilence) {
                remove("servers", name);
            }
        }
        co_await sleepFor(heartbeatInterval);
    }
}

} // namespace review
