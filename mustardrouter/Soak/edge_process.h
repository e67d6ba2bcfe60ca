#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace mustardrouter
{

/// One `mustardrouter edge` as a process of its own.
class edge_process
{
public:
    /// `program` is the executable; the process reads `settingsFile` and appends its output to `logFile`.
    edge_process(std::string program, std::string settingsFile, std::string logFile);
    /// Kills what still runs.
    ~edge_process();
    edge_process(const edge_process &) = delete;
    edge_process &operator=(const edge_process &) = delete;

    /// Starts it; false when that is not possible or it runs already.
    bool start();
    /// Sends a signal to the process, if it runs.
    void signal(int number);
    /// Looks whether it has ended; gives the status of wait(2) once.
    std::optional<int> takeExitStatus();
    bool isRunning() const;
    /// Resident memory in bytes, and open descriptors; 0 when it does not run.
    std::uint64_t memoryBytes() const;
    std::size_t descriptors() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process = 0;
};

} // namespace mustardrouter
