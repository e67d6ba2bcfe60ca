#include "mustardrouter/Soak/soak_instance.h"

#include "mustardrouter/PlatformStandIn/standin_documents.h"
#include "platform/monitoring_server.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <random>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Below the ephemeral port range, so that outgoing connections don't take the port of an instance that restarts.
constexpr unsigned firstPort = 10'000;
constexpr unsigned portSpread = 20'000;
/// Failed readiness probes in a row after which clients avoid the instance.
constexpr unsigned maxFailedProbes = 2;

/// Finds a free loopback address. The bound socket keeps other soaks from taking it, and lets the instance listen there.
std::string reserveAddress(asio::ip::tcp::acceptor &reserved)
{
    static std::mt19937 random(static_cast<unsigned>(::getpid()));
    for (int tries = 0; tries < 200; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + random() % portSpread);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
        asio::error_code problem;
        reserved.close(problem);
        reserved.open(endpoint.protocol(), problem);
        reserved.bind(endpoint, problem);
        if (!problem) {
            reserved.set_option(asio::socket_base::reuse_address(true), problem);
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    return {};
}

/// Finds a free loopback address whose port follows another free one, and reserves both: an instance serves its metrics at the first
/// of the two ports and takes relayed statements at the second.
std::string reserveAddressAfterAnother(asio::ip::tcp::acceptor &reserved, asio::ip::tcp::acceptor &reservedBefore)
{
    for (int tries = 0; tries < 200; ++tries) {
        std::string address = reserveAddress(reserved);
        if (address.empty()) {
            return address;
        }
        const asio::ip::tcp::endpoint before(asio::ip::make_address("127.0.0.1"), reserved.local_endpoint().port() - 1);
        asio::error_code problem;
        reservedBefore.close(problem);
        reservedBefore.open(before.protocol(), problem);
        reservedBefore.bind(before, problem);
        if (!problem) {
            reservedBefore.set_option(asio::socket_base::reuse_address(true), problem);
            return address;
        }
    }
    return {};
}

} // namespace

soak_instance::soak_instance(asio::io_context &context, launch_options options)
    : clients(context, "")
    , store(context, options.store)
    , m_context(context)
    , m_clientPort(context)
    , m_readinessPort(context)
    , m_relayPort(context)
    , m_metricsPort(context)
    , m_options(std::move(options))
{
}

bool soak_instance::start(bool isFirstSystemStart, time_point now)
{
    if (!process) {
        m_clientAddress = reserveAddress(m_clientPort);
        m_readinessAddress = reserveAddress(m_readinessPort);
        m_relayAddress = reserveAddressAfterAnother(m_relayPort, m_metricsPort);
        clients.setTarget(m_clientAddress);
        m_probe = std::make_shared<platform::http_client>(m_context, m_readinessAddress);
        const std::string base = m_options.folder + "/" + m_options.name;
        process = std::make_unique<edge_process>(m_options.program, base + ".json", base + ".log");
        if (m_clientAddress.empty() || m_readinessAddress.empty() || m_relayAddress.empty() || !clients.listen() || !store.listen()) {
            return false;
        }
    }
    m_isFirstSystemStart = isFirstSystemStart;
    writeSettings(false);
    starts += 1;
    startedAt = now;
    ready = false;
    failedProbes = maxFailedProbes;
    stopRequestedAt = {};
    disturbed = false;
    restartAt = {};
    paused = false;
    seenVersion = 0;
    return process->start();
}

void soak_instance::writeSettings(bool broken)
{
    standin_settings settings;
    settings.name = m_options.name;
    settings.dataCentre = m_options.dataCentre;
    settings.dataCentres = {"dc-a", "dc-b", "dc-c"};
    settings.clientAddress = m_clientAddress;
    settings.readinessAddress = m_readinessAddress;
    settings.storeAddress = store.address();
    settings.isFirstSystemStart = m_isFirstSystemStart;
    settings.promotionsAreFenced = m_options.promotionsAreFenced;
    settings.hasWorkspaces = m_options.hasWorkspaces;
    settings.relayPort = static_cast<unsigned>(std::stoul(m_relayAddress.substr(m_relayAddress.rfind(':') + 1)));
    settings.feedMinInstances = m_options.feedMinInstances;
    settings.linkMegabits = m_options.linkMegabits;
    settings.note = starts;
    const std::string text = settingsText(settings);
    std::ofstream file(m_options.folder + "/" + m_options.name + ".json");
    file << (broken ? text.substr(0, text.size() / 2) : text);
}

fault_relay &soak_instance::relayTo(const std::string &database)
{
    std::unique_ptr<fault_relay> &relay = m_databases[database];
    if (!relay) {
        relay = std::make_unique<fault_relay>(m_context, database);
        relay->listen();
    }
    return *relay;
}

std::vector<fault_relay *> soak_instance::databaseRelays()
{
    std::vector<fault_relay *> all;
    for (const auto &[address, relay] : m_databases) {
        all.push_back(relay.get());
    }
    return all;
}

std::vector<fault_relay *> soak_instance::allRelays()
{
    std::vector<fault_relay *> all = databaseRelays();
    all.push_back(&clients);
    all.push_back(&store);
    return all;
}

std::string soak_instance::clientAddress() const
{
    return clients.address();
}

std::string soak_instance::directAddress() const
{
    return m_clientAddress;
}

void soak_instance::stop(time_point now)
{
    if (process->isRunning() && stopRequestedAt == time_point{}) {
        stopRequestedAt = now;
        stops.push_back(now);
        process->signal(SIGTERM);
    }
}

void soak_instance::probeReadiness()
{
    platform::http_request call;
    call.target = platform::readinessPath;
    call.requestTimeout = std::chrono::milliseconds(450);
    m_probe->call(std::move(call), [this](const platform::http_response &answer) {
        constexpr unsigned good = 200;
        failedProbes = answer.status == good ? 0 : failedProbes + 1;
        ready = failedProbes < maxFailedProbes && process->isRunning();
    });
}

} // namespace mustardrouter
