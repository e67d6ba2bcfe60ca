#include "world.h"

#include <algorithm>
#include <iostream>

/// Case 12: a route moves to another service and back while replicas fall behind.
namespace
{

using namespace standin3;

constexpr std::size_t instanceCount = 3;
constexpr std::size_t connectionsPerDatabase = 45;
constexpr std::size_t sessionCount = 12;
constexpr milliseconds usualLag(20);
/// 75 times the usual lag.
constexpr milliseconds longLag(1500);
constexpr milliseconds lagLength(6500);
constexpr milliseconds betweenVersions(900);
const std::string route = "proof-pass";

struct sent_request {
    std::string text;
    std::size_t session = 0;
    time_point sentAt;
    time_point answeredAt = time_point::max();
    std::string outcome = "no answer";
    bool success = false;
    bool writes = false;
};

struct loader {
    std::unique_ptr<client> session;
    std::size_t number = 0;
    int step = 0;
};

class scenario
{
public:
    scenario(std::string program, std::string folder, bool trouble)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_trouble(trouble)
        , m_store(m_loop)
        , m_first(m_loop, "scripts-a", connectionsPerDatabase)
        , m_second(m_loop, "scripts-b", connectionsPerDatabase)
    {
    }
    ~scenario()
    {
        std::ranges::for_each(m_instances, stopInstance);
    }

    int run();

private:
    bool startAll();
    void publish(int version, const std::string &to);
    void askNext(loader &one);
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
    service m_first;
    service m_second;
    std::vector<instance> m_instances;
    std::deque<loader> m_loaders;
    std::map<std::string, sent_request> m_requests;
    bool m_stopping = false;
    int m_nextId = 1;
    time_point m_begin = clock_type::now();
    std::vector<std::string> m_events;
};

void scenario::publish(int version, const std::string &to)
{
    const auto serviceText = [](const service &one) {
        return R"({"name":")" + one.name() + R"(","max_conns":)" + std::to_string(one.maxConnections()) + R"(,"sync_replicas":0})";
    };
    m_store.put("config",
                "main",
                R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r-1","host":")" + route
                    + R"(","type":"read_your_writes","max_staleness_ms":2500,"service":")" + to
                    + R"(","timeout_ms":1000,"target_latency_ms":1000,"priority":2}],"services":[)" + serviceText(m_first) + ","
                    + serviceText(m_second) + R"(],"limits":{"tx_idle_ms":3000}})");
    m_events.push_back(std::to_string(millis(clock_type::now())) + " version " + std::to_string(version)
                       + " acknowledged: the route goes to " + to);
}

bool scenario::startAll()
{
    const std::vector<std::string> zones{"za-a", "za-b", "za-c"};
    // The log of the first service is the longer one.
    m_first.fill(500);
    m_second.fill(20);
    int number = 0;
    for (service *one : {&m_first, &m_second}) {
        for (std::size_t index = 0; index < zones.size(); ++index) {
            one->addDatabase("i-" + std::to_string(++number), zones[index], index == 0);
        }
        one->publish(m_store);
    }
    publish(10, m_first.name());
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
        one.session = std::make_unique<client>(m_loop, m_instances[one.number % instanceCount].clientPort, route);
    }
    const bool writes = one.step++ % 4 == 0;
    const std::string id = "q" + std::to_string(m_nextId++);
    const std::string item = "k" + std::to_string(one.number);
    const std::string text = writes ? "WRITE " + item + " d" + std::to_string(one.step) : "READ " + item;
    m_requests[id] = {.text = text, .session = one.number, .sentAt = clock_type::now(), .writes = writes};
    one.session->ask(id, text, [this, &one, id, writes](const client_answer &answer) {
        sent_request &sent = m_requests[id];
        sent.answeredAt = clock_type::now();
        sent.success = !answer.closed && answer.code.empty();
        sent.outcome = answer.closed ? "closed" : !answer.code.empty() ? answer.code : writes ? "done" : "done " + answer.rows.front();
        if (answer.closed) {
            // A client's next session is another one.
            one.number += sessionCount;
        }
        m_loop.after(milliseconds(answer.closed ? 100 : 30), [this, &one] {
            askNext(one);
        });
    });
}

int scenario::run()
{
    if (!startAll()) {
        std::cerr << "the instances did not become ready\n";
        return 2;
    }
    for (std::size_t index = 0; index < sessionCount; ++index) {
        m_loaders.push_back({nullptr, index, static_cast<int>(index)});
        askNext(m_loaders.back());
    }
    m_loop.runFor(milliseconds(6000));
    if (m_trouble) {
        m_events.push_back(std::to_string(millis(clock_type::now())) + " replicas apply " + std::to_string(longLag.count()) + " ms late");
        m_first.setLag(longLag);
        m_second.setLag(longLag);
        m_loop.after(lagLength, [this] {
            m_events.push_back(std::to_string(millis(clock_type::now())) + " replicas apply " + std::to_string(usualLag.count())
                               + " ms late");
            m_first.setLag(usualLag);
            m_second.setLag(usualLag);
        });
    }
    m_loop.runFor(milliseconds(2500));
    publish(14, m_second.name());
    m_loop.runFor(betweenVersions);
    publish(17, m_first.name());
    m_loop.runFor(milliseconds(6000));
    m_stopping = true;
    m_loop.runFor(milliseconds(1500));
    return judge();
}

int scenario::judge()
{
    // The place in its log of each write that was acknowledged, by service and session.
    struct own_commit {
        time_point acknowledgedAt;
        std::size_t length;
    };
    std::map<std::pair<std::string, std::size_t>, std::vector<own_commit>> commits;
    std::map<std::string, std::vector<run_record>> runsOf;
    for (const service *one : {&m_first, &m_second}) {
        for (const run_record &run : one->runs) {
            runsOf[run.id].push_back(run);
            const sent_request &sent = m_requests[run.id];
            if (sent.writes && sent.success) {
                // A write ran on the log before it.
                commits[{one->name(), sent.session}].push_back({sent.answeredAt, run.applied + 1});
            }
        }
    }
    std::ofstream record("record.txt");
    record << "Times in ms since the start. Each session sends WRITE, READ, READ, READ in turn on the route '" << route << "'.\n";
    for (const std::string &event : m_events) {
        record << event << "\n";
    }
    std::vector<std::pair<time_point, std::string>> lines;
    int broken = 0;
    for (const auto &[id, sent] : m_requests) {
        std::string line = std::to_string(millis(sent.sentAt)) + " session " + std::to_string(sent.session) + " sent " + id + " "
                           + sent.text + " -> " + sent.outcome;
        for (const run_record &run : runsOf[id]) {
            std::size_t required = 0;
            for (const own_commit &own : commits[{run.service, sent.session}]) {
                required = own.acknowledgedAt < sent.sentAt ? std::max(required, own.length) : required;
            }
            line += "; ran at " + run.service + " " + run.database + " at " + std::to_string(millis(run.at)) + " on "
                    + std::to_string(run.applied) + " commits";
            if (!sent.writes && sent.success && run.applied < required) {
                line += ", own commit is " + std::to_string(required) + " BROKEN";
                broken += 1;
            }
        }
        lines.emplace_back(sent.sentAt, line);
    }
    std::ranges::sort(lines);
    for (const auto &[at, line] : lines) {
        record << line << "\n";
    }
    std::cout << "STALE: " << broken
              << " reads ran on a log that lacked a commit of their own session that was acknowledged before they were sent\n";
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 4) {
        std::cerr << "usage: route_returns PROGRAM FOLDER TROUBLE\n";
        return 2;
    }
    scenario played(arguments[1], arguments[2], std::string(arguments[3]) != "0");
    return played.run();
}
