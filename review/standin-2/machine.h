#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "platform/http_client.h"

#include <asio/io_context.hpp>
#include <json/json.h>

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>

namespace mustardrouter::review
{

/// A machine of the system: its settings file and the process that the deploy file's command starts.
class machine
{
public:
    struct options {
        std::string program;
        std::string folder;
        std::string name;
        std::string zone;
        std::string storeAddress;
        /// Where promotions are ordered.
        std::string orderAddress;
        bool isFirstSystemStart = true;
        double processorShare = 0.17;
        unsigned memoryMegabytes = 182;
    };

    machine(asio::io_context &context, options settings);
    /// Kills the process if it is still running.
    ~machine();
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    /// Writes the settings file and starts `mustardrouter edge`; false if that fails.
    bool start();
    void kill(int signal);
    /// Kills the process and waits for its end; the machine keeps its addresses.
    void powerOff();
    /// Takes the status of a process that has ended; true if it has, with status 0.
    bool reap();
    /// Resident memory of the process; 0 if there is none.
    std::uint64_t memoryBytes() const;
    /// Asks for readiness, as the platform does once a second.
    void probe();
    bool isReady() const;
    const std::string &name() const;
    const std::string &clientAddress() const;

    bool gone = false;

private:
    void writeSettings() const;

    options m_options;
    std::string m_clientAddress;
    std::string m_readinessAddress;
    unsigned m_firstInternalPort = 0;
    pid_t m_process = 0;
    bool m_ready = false;
    unsigned m_misses = 0;
    std::shared_ptr<platform::http_client> m_probe;
};

} // namespace mustardrouter::review
