#include "bed.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>

namespace review
{

namespace
{

constexpr auto startTimeout = 15s;
constexpr auto reconnectPause = 100ms;
/// All of the ports of one machine that the platform leaves free for the system.
constexpr std::uint16_t internalPorts = 16;

std::map<std::string, std::string> routeTypes()
{
    return {{"edits", "primary"}, {"reads", "bounded_staleness"}};
}

/// A port that is free on the loopback addresses now.
std::uint16_t freePort(asio::io_context &context)
{
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

} // namespace

bed::bed(bed_options chosen)
    : m_options(std::move(chosen))
    , m_record(m_options.folder + "/record.txt")
{
    m_revision = m_options.firstRevision;
    m_frontendPort = freePort(m_context);
    m_readinessPort = freePort(m_context);
    m_internalPort = freePort(m_context);
    for (std::size_t index = 0; index < m_options.instances; ++index) {
        instance added;
        added.name = "edge-" + std::to_string(index + 1);
        added.ip = "127.0.1." + std::to_string(index + 1);
        added.storePort = listenHttp(index, false);
        added.orderPort = listenHttp(index, true);
        m_instances.push_back(added);
    }
}

bed::~bed()
{
    killInstances();
}

asio::io_context &bed::context()
{
    return m_context;
}

recorder &bed::record()
{
    return m_record;
}

std::vector<instance> &bed::instances()
{
    return m_instances;
}

const std::vector<client_request> &bed::requests() const
{
    return m_requests;
}

const std::vector<promotion> &bed::promotions() const
{
    return m_promotions;
}

const std::vector<order> &bed::orders() const
{
    return m_orders;
}

const std::map<std::string, instant> &bed::commitsOfReplaced() const
{
    return m_commitsOfReplaced;
}

const std::vector<database_run> &bed::runs() const
{
    return m_runs;
}

const std::map<std::string, unsigned> &bed::ownEnds() const
{
    return m_ownEnds;
}

void bed::writeSettings(const instance &which) const
{
    static const std::vector<std::string> zones{"ba-dubravka", "ke-sever", "za-vlcince"};
    Json::Value root;
    root["node_name"] = which.name;
    root["role"] = "edge";
    root["machine_class"] = "edge";
    root["serves"].append("edge");
    root["ip"] = which.ip;
    root["zone"] = zones[(&which - m_instances.data()) % zones.size()];
    root["zones"]["ba-dubravka"] = "bratislava";
    root["zones"]["ba-petrzalka"] = "bratislava";
    root["zones"]["ke-sever"] = "kosice";
    root["zones"]["za-vlcince"] = "zilina";
    root["region"] = root["zones"][root["zone"].asString()];
    root["bind_addrs"]["frontend"] = which.ip + ":" + std::to_string(m_frontendPort);
    root["bind_addrs"]["readiness"] = which.ip + ":" + std::to_string(m_readinessPort);
    root["internal_ports"].append(m_internalPort);
    root["internal_ports"].append(m_internalPort + internalPorts - 1);
    root["seeds"] = Json::arrayValue;
    root["bootstrap"] = true;
    root["loss_counts"] = false;
    root["limits"]["cpu_share"] = 0.17;
    root["limits"]["cores"] = 1;
    root["limits"]["memory_mb"] = 182;
    root["limits"]["max_fds"] = 3010;
    root["limits"]["link_mbps"] = 700.0;
    root["limits"]["disk_mb"] = 0;
    root["discovery"] = "platform";
    root["entry"] = "vip";
    root["heartbeat_ms"] = 1200;
    root["bounds"]["stable_window_ms"] = 5000;
    root["bounds"]["drain_ms"] = 7000;
    root["bounds"]["grace_s"] = 6;
    root["bounds"]["config_apply_ms"] = 4000;
    root["bounds"]["recover_s"] = 12;
    root["bounds"]["require_fencing"] = m_options.fenced;
    root["platform"]["address"] = "127.0.0.1:" + std::to_string(which.storePort);
    root["platform"]["form"] = "objects";
    root["platform"]["writes_per_s"] = 400;
    root["platform"]["reads_per_s"] = 2000;
    root["platform"]["history_s"] = 20;
    root["platform"]["value_bytes"] = 1048576;
    root["provider_api"]["address"] = "127.0.0.1:" + std::to_string(which.orderPort);
    root["provider_api"]["rate_per_s"] = 50.0;
    root["provider_api"]["duties"].append("failover");
    std::ofstream file(m_options.scratch + "/" + which.name + ".json");
    file << root << '\n';
}

void bed::spawn(instance &which)
{
    writeSettings(which);
    const std::string settings = m_options.scratch + "/" + which.name + ".json";
    const std::string log = m_options.scratch + "/" + which.name + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        for (int other = STDERR_FILENO + 1; other < 1024; ++other) {
            ::close(other);
        }
        ::setenv("MUSTARDROUTER_SETTINGS", settings.c_str(), 1);
        ::execl("target/mustardrouter", "target/mustardrouter", "edge", nullptr);
        ::_exit(127);
    }
    which.process = process;
}

void bed::startInstances()
{
    for (instance &one : m_instances) {
        spawn(one);
    }
    m_record.write("instances start");
}

void bed::killInstances()
{
    for (instance &one : m_instances) {
        if (one.process > 0) {
            ::kill(one.process, SIGKILL);
        }
    }
    for (instance &one : m_instances) {
        if (one.process > 0) {
            ::waitpid(one.process, nullptr, 0);
            one.process = 0;
        }
    }
    m_record.write("instances are killed");
}

asio::awaitable<void> bed::superviseInstances()
{
    constexpr auto checkInterval = 50ms;
    constexpr auto restartDelay = 500ms;
    std::map<std::string, instant> startAt;
    while (m_clientsRun) {
        for (instance &one : m_instances) {
            int status = 0;
            if (one.process > 0 && ::waitpid(one.process, &status, WNOHANG) == one.process) {
                one.process = 0;
                m_ownEnds[one.name] += 1;
                startAt[one.name] = steady::now() + restartDelay;
                m_record.write("instance " + one.name + " has ended by itself"
                               + (WIFSIGNALED(status) ? ", signal " + std::to_string(WTERMSIG(status)) : std::string()));
            } else if (one.process == 0 && steady::now() >= startAt[one.name]) {
                spawn(one);
                m_record.write("instance " + one.name + " starts again");
            }
        }
        co_await sleepFor(checkInterval);
    }
}

asio::awaitable<bool> bed::isReady(const instance &which)
{
    try {
        tcp::socket socket(m_context);
        const tcp::endpoint to(asio::ip::make_address(which.ip), m_readinessPort);
        co_await socket.async_connect(to, asio::use_awaitable);
        const std::string request = "GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        std::string buffer;
        const std::string status = co_await readLine(socket, buffer);
        co_return status.find(" 200") != std::string::npos;
    } catch (const std::exception &) {
        co_return false;
    }
}

asio::awaitable<bool> bed::start()
{
    Json::Value configuration;
    configuration["version"] = 7;
    const std::map<std::string, std::string> routes = routeTypes();
    for (const auto &[host, type] : routes) {
        Json::Value route;
        route["name"] = "r-" + host;
        route["host"] = host;
        route["path_prefix"] = "/";
        route["type"] = type;
        route["timeout_ms"] = 1000;
        route["target_latency_ms"] = 600;
        route["priority"] = 1;
        route["service"] = "scripts";
        route["max_attempts"] = 2;
        route["max_staleness_ms"] = 1500;
        configuration["routes"].append(route);
    }
    Json::Value service;
    service["name"] = "scripts";
    service["health_path"] = "/healthz";
    service["max_conns"] = m_options.maxConnections;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["sync_replicas"] = m_options.syncReplicas;
    configuration["services"].append(service);
    configuration["limits"]["tx_idle_ms"] = 3000;
    put("config", "main", configuration);
    asio::co_spawn(m_context, replicate(), asio::detached);
    asio::co_spawn(m_context, heartbeat(), asio::detached);
    startInstances();
    const instant giveUpAt = steady::now() + startTimeout;
    for (const instance &one : m_instances) {
        bool ready = co_await isReady(one);
        for (; !ready; ready = co_await isReady(one)) {
            if (steady::now() > giveUpAt) {
                co_return false;
            }
            co_await sleepFor(reconnectPause);
        }
    }
    m_record.write("all instances are ready");
    co_return true;
}

void bed::startClients(std::size_t count, double writes, double transactions, millis pause)
{
    m_clientsRun = true;
    for (std::size_t number = 0; number < count; ++number) {
        asio::co_spawn(m_context, runClient(number, writes, transactions, pause), asio::detached);
    }
}

void bed::stopClients()
{
    m_clientsRun = false;
}

void bed::holdClients(bool held)
{
    m_clientsHeld = held;
}

asio::awaitable<std::string> bed::ask(tcp::socket &socket, std::string &buffer, std::string id, std::string text)
{
    const std::string request = "QUERY " + id + " " + text + "\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    std::string answer;
    while (true) {
        std::string line = co_await readLine(socket, buffer);
        const std::string word = takeWord(line);
        if (word == "COMPLETE") {
            answer = word;
        } else if (word == "ERROR") {
            answer = takeWord(line);
        } else if (word == "READY") {
            co_return answer;
        }
    }
}

asio::awaitable<bool> bed::runOperation(tcp::socket &socket, std::string &buffer, double draw, double writes, double transactions)
{
    const auto newId = [this] {
        return "5c0e7a21d94b" + std::to_string(100000 + m_nextId++);
    };
    const bool transaction = draw >= writes && draw < writes + transactions;
    const std::size_t index = m_requests.size();
    m_requests.push_back({newId(), steady::now(), {}, "CLOSED", draw < writes + transactions});
    const auto finish = [&](const std::string &answer) {
        client_request &request = m_requests[index];
        request.answer = answer;
        request.answeredAt = steady::now();
        m_record.write("client " + request.id + (transaction ? " COMMIT: " : request.writes ? " WRITE: " : " READ: ") + answer);
        if (answer == "COMPLETE" && request.writes) {
            m_acknowledged[request.id] = *request.answeredAt;
        }
    };
    const std::string id = m_requests[index].id;
    const std::string item = std::to_string(m_random() % 2000);
    try {
        if (!transaction) {
            std::string text = "READ " + item;
            if (draw < writes) {
                text = "WRITE " + item + " xkqpwnzd";
            }
            const std::string answer = co_await ask(socket, buffer, id, text);
            finish(answer);
            co_return true;
        }
        for (int step = 0; step < 3; ++step) {
            std::string text = "BEGIN";
            if (step > 0) {
                text = step == 1 ? "READ " + item : "WRITE " + item + " xkqpwnzd";
            }
            const std::string stepId = newId();
            const std::string stepAnswer = co_await ask(socket, buffer, stepId, text);
            if (stepAnswer != "COMPLETE") {
                finish(stepAnswer);
                const std::string lastId = newId();
                text = "ROLLBACK";
                co_await ask(socket, buffer, lastId, text);
                co_return true;
            }
        }
        const std::string text = "COMMIT";
        const std::string answer = co_await ask(socket, buffer, id, text);
        finish(answer);
        co_return true;
    } catch (const std::exception &) {
        finish("CLOSED");
        co_return false;
    }
}

asio::awaitable<std::string> bed::sendOne(std::string message)
{
    tcp::socket socket(m_context);
    std::string buffer;
    const tcp::endpoint to(asio::ip::make_address(m_instances.front().ip), m_frontendPort);
    co_await socket.async_connect(to, asio::use_awaitable);
    const std::string start = "STARTUP edits u1\r\n";
    co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
    co_await readLine(socket, buffer);
    message += "\r\n";
    co_await asio::async_write(socket, asio::buffer(message), asio::use_awaitable);
    std::string answer = co_await readLine(socket, buffer);
    co_await sleepFor(500ms);
    co_return answer;
}

asio::awaitable<void> bed::runClient(std::size_t number, double writes, double transactions, millis pause)
{
    std::size_t turn = number;
    std::mt19937_64 random(number + 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    while (m_clientsRun) {
        const instance &one = m_instances[turn++ % m_instances.size()];
        bool open = false;
        tcp::socket socket(m_context);
        std::string buffer;
        try {
            const tcp::endpoint to(asio::ip::make_address(one.ip), m_frontendPort);
            co_await socket.async_connect(to, asio::use_awaitable);
            const std::string start = "STARTUP edits u" + std::to_string(number) + "\r\n";
            co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
            const std::string answer = co_await readLine(socket, buffer);
            open = answer.starts_with("READY");
        } catch (const std::exception &) {
            open = false;
        }
        if (!open) {
            // Counts as a request that was not served.
            m_requests.push_back({"-", steady::now(), steady::now(), "CLOSED", true});
        }
        while (open && m_clientsRun) {
            if (m_clientsHeld) {
                co_await sleepFor(pause);
                continue;
            }
            open = co_await runOperation(socket, buffer, uniform(random), writes, transactions);
            co_await sleepFor(pause);
        }
        co_await sleepFor(reconnectPause);
    }
}

} // namespace review
