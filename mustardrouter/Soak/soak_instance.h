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

/// One instance of a soak: its process, and the relays on all its ways.
class soak_instance
{
public:
    struct launch_options {
        std::string program;
        std::string folder;
        std::string name;
        std::string dataCentre;
        /// Its listener at the store.
        std::string store;
    };

    soak_instance(asio::io_context &context, launch_options options);

    /// Finds ports, writes the settings and starts the process; false when that is not possible.
    bool start(bool isFirstSystemStart);
    /// Writes the settings file; a broken one is cut off in the middle.
    void writeSettings(bool broken);
    /// The relay to a database; made when it is asked for first.
    fault_relay &relayTo(const std::string &database);
    std::vector<fault_relay *> allRelays();
    std::vector<fault_relay *> databaseRelays();
    /// Where clients connect, and where they connect without the relay.
    std::string clientAddress() const;
    std::string directAddress() const;
    /// Asks whether it is ready.
    void probeReadiness();

    std::unique_ptr<edge_process> process;
    fault_relay clients;
    fault_relay store;
    bool ready = false;
    unsigned failedProbes = 0;
    /// How often it was started.
    unsigned starts = 0;
    /// When it was told to stop; the epoch when it was not. Whether something else was done to it since.
    time_point stopRequestedAt{};
    bool disturbed = false;
    /// It was killed, and starts again at this time.
    time_point restartAt{};
    bool paused = false;
    /// Highest version of the configuration whose effect was seen since it started, and when.
    std::uint64_t seenVersion = 0;
    time_point seenAt{};

private:
    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_clientPort;
    asio::ip::tcp::acceptor m_readinessPort;
    launch_options m_options;
    std::string m_clientAddress;
    std::string m_readinessAddress;
    std::map<std::string, std::unique_ptr<fault_relay>> m_databases;
    std::shared_ptr<platform::http_client> m_probe;
    bool m_isFirstSystemStart = true;
};

} // namespace mustardrouter
