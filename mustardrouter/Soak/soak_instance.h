#pragma once

#include "mustardrouter/Soak/edge_process.h"
#include "mustardrouter/Soak/fault_relay.h"
#include "platform/http_client.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// An instance of the soak: its process and the relays on all its connections.
class soak_instance
{
public:
    struct launch_options {
        std::string program;
        std::string folder;
        std::string name;
        std::string dataCentre;
        /// Address of its listener at the store.
        std::string store;
        bool promotionsAreFenced = true;
        /// Where a data centre has fewer instances, each asks the store itself; 0: everywhere.
        unsigned feedMinInstances = 0;
        double linkMegabits = 0;
        bool hasWorkspaces = false;
    };

    soak_instance(asio::io_context &context, launch_options options);

    /// Reserves ports, writes the settings and starts the process; false if that fails.
    bool start(bool isFirstSystemStart, time_point now);
    /// Writes the settings file; a broken one is truncated in the middle.
    void writeSettings(bool broken);
    /// The relay to a database; created on first use.
    fault_relay &relayTo(const std::string &database);
    std::vector<fault_relay *> allRelays();
    std::vector<fault_relay *> databaseRelays();
    /// Address for clients through the relay, and without it.
    std::string clientAddress() const;
    std::string directAddress() const;
    /// Tells it to stop, once.
    void stop(time_point now);
    /// Sends a readiness probe.
    void probeReadiness();

    std::unique_ptr<edge_process> process;
    fault_relay clients;
    fault_relay store;
    bool ready = false;
    unsigned failedProbes = 0;
    /// Number of times that it was started, and when it was last.
    unsigned starts = 0;
    time_point startedAt{};
    /// When it was told to stop; the epoch if it was not. `disturbed`: another fault hit it since it started.
    time_point stopRequestedAt{};
    bool disturbed = false;
    /// When it was told to stop, each time.
    std::vector<time_point> stops;
    /// When it starts again after it ended; the epoch if that is not scheduled.
    time_point restartAt{};
    bool paused = false;
    /// Highest configuration version seen in effect since it started, and when.
    std::uint64_t seenVersion = 0;
    time_point seenAt{};

private:
    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_clientPort;
    asio::ip::tcp::acceptor m_readinessPort;
    asio::ip::tcp::acceptor m_relayPort;
    asio::ip::tcp::acceptor m_metricsPort;
    launch_options m_options;
    std::string m_clientAddress;
    std::string m_readinessAddress;
    std::string m_relayAddress;
    std::map<std::string, std::unique_ptr<fault_relay>> m_databases;
    std::shared_ptr<platform::http_client> m_probe;
    bool m_isFirstSystemStart = true;
};

} // namespace mustardrouter
