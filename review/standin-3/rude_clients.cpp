#include "world.h"

#include <signal.h>

#include <algorithm>
#include <iostream>

/// Case 13: rude clients send messages of carriage returns; long after they have left, a change of the configuration is not applied.
namespace
{

using namespace standin3;

constexpr std::size_t instanceCount = 2;
constexpr std::size_t connectionsPerDatabase = 144;
constexpr std::size_t furtherRoutes = 1400;
constexpr std::size_t rudeClients = 100;
constexpr std::size_t rudeBytes = 1'000'000;
constexpr milliseconds rudeFor(6500);
constexpr milliseconds stableWindow(8000);
constexpr milliseconds configurationDelay(8000);
const std::string keptRoute = "line-edit";
const std::string droppedRoute = "booth-read-before";

struct sent_request {
    std::string text;
    std::string via;
    std::string route;
    time_point sentAt;
    std::string outcome = "no answer";
};

struct loader {
    std::unique_ptr<client> session;
    std::string via;
    std::uint16_t port = 0;
    std::string route;
};

class scenario
{
public:
    scenario(std::string program, std::string folder, bool trouble)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_trouble(trouble)
        , m_store(m_loop)
        , m_service(m_loop, "scripts", connectionsPerDatabase)
    {
    }
    ~scenario()
    {
        std::ranges::for_each(m_instances, stopInstance);
    }

    int run();

private:
    bool startAll();
    void publish(int version, bool withDropped);
    void askNext(loader &one);
    /// Gives the instances a quarter of a core: the first quarter of each tenth of a second.
    void ration(bool runs);
    void sendRudely(const instance &to);
    int judge();
    long millis(time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_begin).count();
    }

    std::string m_program;
    std::string m_folder;
    bool m_trouble;
    event_loop m_loop;
    object_store m_store;
    service m_service;
    std::vector<instance> m_instances;
    std::deque<loader> m_loaders;
    std::map<std::string, sent_request> m_requests;
    bool m_stopping = false;
    int m_nextId = 1;
    time_point m_begin = clock_type::now();
    time_point m_publishedAt{};
    std::vector<std::string> m_events;
};

void scenario::publish(int version, bool withDropped)
{
    std::string routes;
    const auto add = [&](const std::string &host) {
        routes += (routes.empty() ? "" : ",") + (R"({"name":"r-)" + host + R"(","host":")" + host)
                  + R"(","type":"primary","service":"scripts","timeout_ms":1000,"target_latency_ms":600,"priority":1})";
    };
    add(keptRoute);
    if (withDropped) {
        add(droppedRoute);
    }
    for (std::size_t index = 0; index < furtherRoutes; ++index) {
        add("further-" + std::to_string(index));
    }
    m_store.put("config",
                "main",
                R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"scripts","max_conns":)"
                    + std::to_string(connectionsPerDatabase) + R"(,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}})");
    m_events.push_back(std::to_string(millis(clock_type::now())) + " version " + std::to_string(version) + " acknowledged, "
                       + (withDropped ? "with" : "without") + " the route " + droppedRoute);
}

bool scenario::startAll()
{
    const std::vector<std::string> zones{"ba-dubravka", "ke-sever"};
    for (int index = 0; index < 3; ++index) {
        m_service.addDatabase("i-" + std::to_string(index + 1), zones[static_cast<std::size_t>(index) % 2], index == 0);
    }
    m_service.publish(m_store);
    publish(10, true);
    m_instances.resize(instanceCount);
    for (std::size_t index = 0; index < instanceCount; ++index) {
        instance &one = m_instances[index];
        one.name = "edge-" + std::to_string(index + 1);
        one.zone = zones[index];
        one.storePort = m_store.addPort();
        if (!startInstance(one, m_program, m_folder, zones, m_store.orderPort())) {
            return false;
        }
    }
    m_loop.runFor(milliseconds(2500));
    return m_loop.runUntil(
        [&] {
            return std::ranges::all_of(m_instances, isReady);
        },
        milliseconds(20000));
}

void scenario::askNext(loader &one)
{
    if (m_stopping) {
        return;
    }
    if (!one.session || !one.session->isOpen()) {
        one.session = std::make_unique<client>(m_loop, one.port, one.route);
    }
    const std::string id = "q" + std::to_string(m_nextId++);
    const std::string text = "READ k" + std::to_string(m_nextId % 50);
    m_requests[id] = {text, one.via, one.route, clock_type::now()};
    one.session->ask(id, text, [this, &one, id](const client_answer &answer) {
        m_requests[id].outcome = answer.closed ? "closed" : answer.code.empty() ? "done" : answer.code;
        m_loop.after(milliseconds(100), [this, &one] {
            askNext(one);
        });
    });
}

void scenario::ration(bool runs)
{
    for (const instance &one : m_instances) {
        ::kill(one.process, runs ? SIGCONT : SIGSTOP);
    }
    if (!m_stopping || !runs) {
        m_loop.after(milliseconds(runs ? 25 : 75), [this, runs] {
            ration(!runs);
        });
    }
}

void scenario::sendRudely(const instance &to)
{
    m_events.push_back(std::to_string(millis(clock_type::now())) + " " + std::to_string(rudeClients) + " clients send "
                       + std::to_string(rudeBytes) + " carriage returns each to " + to.name);
    for (std::size_t index = 0; index < rudeClients; ++index) {
        const stream_ref link = m_loop.connect(to.clientPort);
        link->output = "STARTUP " + keptRoute + " u1\r\nQUERY x" + std::to_string(index) + " WRITE k " + std::string(rudeBytes, '\r');
        m_loop.after(rudeFor, [this, link] {
            m_loop.close(link);
        });
    }
    m_loop.after(rudeFor, [this] {
        m_events.push_back(std::to_string(millis(clock_type::now())) + " they have left");
    });
}

int scenario::run()
{
    if (!startAll()) {
        std::cerr << "the instances did not become ready\n";
        return 2;
    }
    ration(false);
    for (const instance &one : m_instances) {
        for (const std::string &route : {keptRoute, droppedRoute}) {
            for (int index = 0; index < 4; ++index) {
                m_loaders.push_back({nullptr, one.name, one.clientPort, route});
                askNext(m_loaders.back());
            }
        }
    }
    m_loop.runFor(milliseconds(3000));
    if (m_trouble) {
        sendRudely(m_instances.front());
    }
    m_loop.runFor(rudeFor + stableWindow + milliseconds(500));
    publish(14, false);
    m_publishedAt = clock_type::now();
    m_loop.runFor(configurationDelay + milliseconds(8000));
    m_stopping = true;
    m_loop.runFor(milliseconds(1500));
    return judge();
}

int scenario::judge()
{
    std::map<std::string, std::vector<run_record>> runsOf;
    for (const run_record &run : m_service.runs) {
        runsOf[run.id].push_back(run);
    }
    std::ofstream record("record.txt");
    record << "Times in ms since the start.\n";
    for (const std::string &event : m_events) {
        record << event << "\n";
    }
    std::vector<std::pair<time_point, std::string>> lines;
    int broken = 0;
    for (const auto &[id, sent] : m_requests) {
        std::string line = std::to_string(millis(sent.sentAt)) + " sent " + id + " " + sent.text + " on " + sent.route + " to " + sent.via
                           + " -> " + sent.outcome;
        for (const run_record &run : runsOf[id]) {
            line += "; ran at " + run.database + " at " + std::to_string(millis(run.at));
            if (sent.route == droppedRoute && sent.sentAt > m_publishedAt + configurationDelay) {
                line += " BROKEN";
                broken += 1;
            }
        }
        lines.emplace_back(sent.sentAt, line);
    }
    std::ranges::sort(lines);
    for (const auto &[at, line] : lines) {
        record << line << "\n";
    }
    std::cout << "CONFIG: " << broken << " requests that were sent later than " << configurationDelay.count()
              << " ms after the acknowledgement ran with the dropped route\n";
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 4) {
        std::cerr << "usage: rude_clients PROGRAM FOLDER TROUBLE\n";
        return 2;
    }
    scenario played(arguments[1], arguments[2], std::string(arguments[3]) != "0");
    return played.run();
}
