#include "review/standin-2/machine.h"

#include <asio/ip/tcp.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <random>
#include <utility>
#include <vector>

namespace mustardrouter::review
{

namespace
{

/// Below the range from which the system takes the ports of outgoing connections.
constexpr unsigned firstPort = 10'000;
constexpr unsigned portSpread = 20'000;
constexpr unsigned maxMisses = 2;
/// Ports for the communication between machines, as in the users' settings.
constexpr unsigned internalPorts = 16;

bool isFree(unsigned port)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    asio::error_code problem;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
    acceptor.open(endpoint.protocol(), problem);
    acceptor.bind(endpoint, problem);
    return !problem;
}

/// First of `count` free ports in a row that were not handed out before.
unsigned reservePorts(unsigned count)
{
    static std::mt19937 random(static_cast<unsigned>(::getpid()));
    static std::vector<bool> taken(firstPort + portSpread + internalPorts, false);
    while (true) {
        const unsigned first = firstPort + static_cast<unsigned>(random() % portSpread);
        bool free = true;
        for (unsigned port = first; port < first + count; ++port) {
            free = free && !taken[port] && isFree(port);
        }
        if (!free) {
            continue;
        }
        for (unsigned port = first; port < first + count; ++port) {
            taken[port] = true;
        }
        return first;
    }
}

std::string loopback(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

machine::machine(asio::io_context &context, options settings)
    : m_options(std::move(settings))
    , m_clientAddress(loopback(reservePorts(1)))
    , m_readinessAddress(loopback(reservePorts(1)))
    , m_firstInternalPort(reservePorts(internalPorts))
    , m_probe(std::make_shared<platform::http_client>(context, m_readinessAddress))
{
}

machine::~machine()
{
    powerOff();
}

void machine::writeSettings() const
{
    Json::Value root;
    root["node_name"] = m_options.name;
    root["role"] = "edge";
    root["machine_class"] = "edge";
    root["serves"].append("edge");
    root["ip"] = "127.0.0.1";
    root["zone"] = m_options.zone;
    root["region"] = "region-of-" + m_options.zone;
    for (const char *zone : {"dc-a", "dc-b", "dc-c"}) {
        root["zones"][zone] = std::string("region-of-") + zone;
    }
    root["bind_addrs"]["frontend"] = m_clientAddress;
    root["bind_addrs"]["readiness"] = m_readinessAddress;
    root["internal_ports"].append(m_firstInternalPort);
    root["internal_ports"].append(m_firstInternalPort + internalPorts - 1);
    root["bootstrap"] = m_options.isFirstSystemStart;
    root["limits"]["cpu_share"] = m_options.processorShare;
    root["limits"]["cores"] = 1;
    root["limits"]["memory_mb"] = m_options.memoryMegabytes;
    root["limits"]["max_fds"] = 3010;
    root["limits"]["link_mbps"] = 700.0;
    root["heartbeat_ms"] = 1200;
    root["bounds"]["stable_window_ms"] = 5000;
    root["bounds"]["drain_ms"] = 7000;
    root["bounds"]["grace_s"] = 6;
    root["bounds"]["config_apply_ms"] = 4000;
    root["bounds"]["recover_s"] = 12;
    root["bounds"]["require_fencing"] = true;
    root["platform"]["address"] = m_options.storeAddress;
    root["provider_api"]["address"] = m_options.orderAddress;
    std::ofstream(m_options.folder + "/" + m_options.name + ".json") << root.toStyledString();
}

bool machine::start()
{
    writeSettings();
    const std::string base = m_options.folder + "/" + m_options.name;
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    constexpr mode_t mode = 0644;
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string words[] = {m_options.program, "edge"};
    char *arguments[] = {words[0].data(), words[1].data(), nullptr};
    std::string settings = "MUSTARDROUTER_SETTINGS=" + base + ".json";
    char *variables[] = {settings.data(), nullptr};
    const int problem = ::posix_spawn(&m_process, m_options.program.c_str(), &actions, nullptr, arguments, variables);
    ::posix_spawn_file_actions_destroy(&actions);
    m_process = problem == 0 ? m_process : 0;
    m_options.isFirstSystemStart = false;
    m_ready = false;
    m_misses = maxMisses;
    return problem == 0;
}

void machine::kill(int signal)
{
    if (m_process != 0) {
        ::kill(m_process, signal);
    }
}

void machine::powerOff()
{
    if (m_process == 0) {
        return;
    }
    ::kill(m_process, SIGKILL);
    int status = 0;
    ::waitpid(m_process, &status, 0);
    m_process = 0;
    m_ready = false;
}

bool machine::reap()
{
    int status = 0;
    if (m_process == 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
        return false;
    }
    m_process = 0;
    m_ready = false;
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

std::uint64_t machine::memoryBytes() const
{
    if (m_process == 0) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void machine::probe()
{
    if (m_process == 0) {
        m_ready = false;
        return;
    }
    platform::http_request call;
    call.target = "/v1/readyz";
    call.requestTimeout = std::chrono::milliseconds(450);
    m_probe->call(std::move(call), [this](const platform::http_response &answer) {
        constexpr unsigned good = 200;
        m_misses = answer.status == good ? 0 : m_misses + 1;
        m_ready = m_misses < maxMisses && m_process != 0;
    });
}

bool machine::isReady() const
{
    return m_ready;
}

const std::string &machine::name() const
{
    return m_options.name;
}

const std::string &machine::clientAddress() const
{
    return m_clientAddress;
}

} // namespace mustardrouter::review
