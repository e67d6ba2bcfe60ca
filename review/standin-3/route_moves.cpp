#include "world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

/// Case 11: a route moves to another service while one instance does not reach the store.
namespace
{

using namespace standin3;

constexpr std::size_t instanceCount = 8;
constexpr std::size_t connectionsPerDatabase = 16;
constexpr milliseconds downgrade(250);
constexpr milliseconds cutLength(5500);
const std::string movedRoute = "lessons";

struct sent_request {
    std::string text;
    std::string via;
    std::string route;
    time_point sentAt;
    std::string outcome = "no answer";
    bool acknowledgedWrite = false;
    /// The answer to a read lacks the last write that the same session had acknowledged.
    bool missesOwnWrite = false;
};

struct loader {
    std::unique_ptr<client> session;
    std::string via;
    std::uint16_t port = 0;
    std::string route;
    int number = 0;
    int step = 0;
    /// What it last wrote with success; only this session writes its item.
    std::string lastWritten = "none";
};

class scenario
{
public:
    ~scenario()
    {
        std::ranges::for_each(m_instances, stopInstance);
    }
    scenario(std::string program, std::string folder, bool trouble)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_trouble(trouble)
        , m_store(m_loop)
        , m_old(m_loop, "booking-old", connectionsPerDatabase)
        , m_new(m_loop, "booking-new", connectionsPerDatabase)
    {
    }

    int run();

private:
    bool startAll();
    void publish(int version, const std::string &movedTo);
    void addLoader(const instance &at, const std::string &route);
    void askNext(loader &one);
    const instance *chooseTaker() const;
    const instance *chooseCut(const instance &taker) const;
    int judge(const instance &taker, const instance &cut);
    long millis(time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_begin).count();
    }

    std::string m_program;
    std::string m_folder;
    bool m_trouble;
    event_loop m_loop;
    object_store m_store;
    service m_old;
    service m_new;
    std::vector<instance> m_instances;
    std::deque<loader> m_loaders;
    std::map<std::string, sent_request> m_requests;
    bool m_stopping = false;
    int m_nextId = 1;
    time_point m_begin = clock_type::now();
    time_point m_cutAt{};
    time_point m_publishedAt{};
};

void scenario::publish(int version, const std::string &movedTo)
{
    const auto routeText = [](const std::string &host, const std::string &to) {
        return R"({"name":"r-)" + host + R"(","host":")" + host + R"(","type":"primary","service":")" + to
               + R"(","timeout_ms":1000,"target_latency_ms":600,"priority":1})";
    };
    const auto serviceText = [](const service &one) {
        return R"({"name":")" + one.name() + R"(","max_conns":)" + std::to_string(one.maxConnections()) + R"(,"sync_replicas":0})";
    };
    m_store.put("config",
                "main",
                R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText(movedRoute, movedTo) + ","
                    + routeText("rosters-old", m_old.name()) + "," + routeText("rosters-new", m_new.name()) + R"(],"services":[)"
                    + serviceText(m_old) + "," + serviceText(m_new) + R"(],"limits":{"tx_idle_ms":3000}})");
}

bool scenario::startAll()
{
    const std::vector<std::string> zones{"north-a", "north-b"};
    int number = 0;
    for (service *one : {&m_old, &m_new}) {
        for (int index = 0; index < 3; ++index) {
            one->addDatabase("i-" + std::to_string(++number), zones[static_cast<std::size_t>(index) % 2], index == 0);
        }
        one->publish(m_store);
    }
    publish(10, m_old.name());
    m_instances.resize(instanceCount);
    for (std::size_t index = 0; index < instanceCount; ++index) {
        instance &one = m_instances[index];
        one.name = "edge-" + std::to_string(index + 1);
        one.zone = zones[index % 2];
        one.storePort = m_store.addPort();
        if (!startInstance(one, m_program, m_folder, zones, m_store.orderPort())) {
            return false;
        }
    }
    m_loop.runFor(milliseconds(2500));
    // The probe waits for its answer, which needs no stand-in.
    return m_loop.runUntil(
        [&] {
            return std::ranges::all_of(m_instances, isReady);
        },
        milliseconds(20000));
}

void scenario::addLoader(const instance &at, const std::string &route)
{
    m_loaders.push_back({nullptr, at.name, at.clientPort, route, static_cast<int>(m_loaders.size()) + 1, 0, "none"});
    askNext(m_loaders.back());
}

void scenario::askNext(loader &one)
{
    if (m_stopping) {
        return;
    }
    if (!one.session || !one.session->isOpen()) {
        one.session = std::make_unique<client>(m_loop, one.port, one.route);
    }
    const bool writes = one.step++ % 2 == 0;
    const std::string id = "q" + std::to_string(m_nextId++);
    const std::string item = "k" + std::to_string(one.number);
    const std::string text = writes ? "WRITE " + item + " d" + std::to_string(one.step) : "READ " + item;
    m_requests[id] = {text, one.via, one.route, clock_type::now()};
    const std::string data = "d" + std::to_string(one.step);
    one.session->ask(id, text, [this, &one, id, writes, data](const client_answer &answer) {
        const bool success = !answer.closed && answer.code.empty();
        sent_request &sent = m_requests[id];
        sent.outcome = answer.closed ? "closed" : !success ? answer.code : writes ? "done" : "done " + answer.rows.front();
        sent.acknowledgedWrite = writes && success;
        sent.missesOwnWrite = !writes && success && answer.rows.front() != one.lastWritten;
        one.lastWritten = sent.acknowledgedWrite ? data : one.lastWritten;
        m_loop.after(milliseconds(answer.closed ? 100 : 15), [this, &one] {
            askNext(one);
        });
    });
}

const instance *scenario::chooseTaker() const
{
    const std::set<std::string> oldOnes = m_old.connectedInstances();
    const std::set<std::string> newOnes = m_new.connectedInstances();
    for (const instance &one : m_instances) {
        if (!oldOnes.contains(one.name) && !newOnes.contains(one.name) && chooseCut(one) != nullptr) {
            return &one;
        }
    }
    return nullptr;
}

/// An instance that has connections to the new service, in the zone of the one that takes the requests.
const instance *scenario::chooseCut(const instance &taker) const
{
    const std::set<std::string> names = m_new.connectedInstances();
    for (const instance &one : m_instances) {
        if (names.size() >= 2 && names.contains(one.name) && one.zone == taker.zone) {
            return &one;
        }
    }
    return nullptr;
}

int scenario::run()
{
    if (!startAll()) {
        std::cerr << "the instances did not become ready\n";
        return 2;
    }
    for (const instance &one : m_instances) {
        addLoader(one, "rosters-old");
        addLoader(one, "rosters-new");
    }
    m_loop.runFor(milliseconds(7000));
    const instance *taker = chooseTaker();
    if (taker == nullptr) {
        std::cerr << "no instance relays to both services\n";
        return 2;
    }
    const instance *cut = chooseCut(*taker);
    for (int index = 0; index < 8; ++index) {
        addLoader(*taker, movedRoute);
    }
    m_loop.runFor(milliseconds(2000));
    if (m_trouble) {
        m_cutAt = clock_type::now();
        m_store.setReachable(cut->storePort, false);
        m_loop.after(cutLength, [this, cut] {
            m_store.setReachable(cut->storePort, true);
        });
    }
    m_loop.runFor(milliseconds(1000));
    publish(14, m_new.name());
    m_publishedAt = clock_type::now();
    m_loop.runFor(milliseconds(9000));
    m_stopping = true;
    m_loop.runFor(milliseconds(1500));
    return judge(*taker, *cut);
}

int scenario::judge(const instance &taker, const instance &cut)
{
    std::map<std::string, std::vector<run_record>> runsOf;
    for (const service *one : {&m_old, &m_new}) {
        for (const run_record &run : one->runs) {
            runsOf[run.id].push_back(run);
        }
    }
    // When a database first saw that the machine handles requests by the new version.
    time_point effectAt = time_point::max();
    for (const auto &[id, sent] : m_requests) {
        for (const run_record &run : runsOf[id]) {
            if (sent.via == taker.name && sent.route == movedRoute && run.service == m_new.name()) {
                effectAt = std::min(effectAt, run.at);
            }
        }
    }
    std::ofstream record("record.txt");
    record << "Times in ms since the start. Requests on the route '" << movedRoute << "' through " << taker.name << ".\n";
    if (m_trouble) {
        record << millis(m_cutAt) << " the store is out of reach of " << cut.name << " for " << cutLength.count() << " ms\n";
    }
    record << millis(m_publishedAt) << " version 14 acknowledged: the route goes to " << m_new.name() << " instead of " << m_old.name()
           << "\n";
    if (effectAt == time_point::max()) {
        record << "no request ran at " << m_new.name() << "\n";
        return 2;
    }
    record << millis(effectAt) << " first run at " << m_new.name() << " of a request through " << taker.name << "\n";
    std::vector<std::pair<time_point, std::string>> lines;
    int broken = 0;
    int acknowledged = 0;
    int missing = 0;
    for (const auto &[id, sent] : m_requests) {
        if (sent.via != taker.name || sent.route != movedRoute) {
            continue;
        }
        std::string line = std::to_string(millis(sent.sentAt)) + " sent " + id + " " + sent.text + " -> " + sent.outcome;
        for (const run_record &run : runsOf[id]) {
            line += "; ran at " + run.service + " " + run.database + " at " + std::to_string(millis(run.at)) + " for " + run.caller;
            if (sent.sentAt > effectAt + downgrade && run.service == m_old.name()) {
                line += " BROKEN";
                broken += 1;
                acknowledged += sent.acknowledgedWrite ? 1 : 0;
                missing += sent.missesOwnWrite ? 1 : 0;
            }
        }
        lines.emplace_back(sent.sentAt, line);
    }
    std::ranges::sort(lines);
    for (const auto &[at, line] : lines) {
        record << line << "\n";
    }
    std::cout << "CONFIG: " << broken << " requests that were sent more than " << downgrade.count()
              << " ms after the new version had taken effect ran at the old service; " << acknowledged
              << " of them are acknowledged writes, " << missing << " reads that lack what their session had last written with success\n";
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 4) {
        std::cerr << "usage: route_moves PROGRAM FOLDER TROUBLE\n";
        return 2;
    }
    scenario played(arguments[1], arguments[2], std::string(arguments[3]) != "0");
    return played.run();
}
