#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace mustardrouter
{

/// A child process that runs `mustardrouter edge`.
class edge_process
{
public:
    /// `program` is the executable; the process reads `settingsFile` and appends its output to `logFile`.
    edge_process(std::string program, std::string settingsFile, std::string logFile);
    /// Kills the process if it is still running.
    ~edge_process();
    edge_process(const edge_process &) = delete;
    edge_process &operator=(const edge_process &) = delete;

    /// Starts the process; false if that fails or it is running already.
    bool start();
    /// Sends a signal to the process if it is running.
    void signal(int number);
    /// Returns the wait(2) status once after the process has exited, without blocking.
    std::optional<int> takeExitStatus();
    bool isRunning() const;
    /// Resident memory in bytes and number of open descriptors; 0 if the process is not running.
    std::uint64_t memoryBytes() const;
    std::size_t descriptors() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process = 0;
};

} // namespace mustardrouter
