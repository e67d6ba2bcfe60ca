#pragma once

#include "mustardrouter/Runtime/ring.h"

#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Structured log on standard output, one JSON object a line. A separate thread writes the lines, so
/// that a blocked reader does not block the caller; lines that do not fit the ring are dropped and counted.
class event_log
{
public:
    using fields = std::vector<std::pair<const char *, std::string>>;

    /// Writes to `descriptor`, standard output by default; tests pass another.
    explicit event_log(std::string instance, int descriptor = 1);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Queues a line; must always be called from the same thread.
    void write(std::string_view event, const fields &values);
    /// Flushes the queued lines, within a bounded time; later lines are not written.
    void close();
    /// Number of lines dropped because the ring was full or the rate limit exceeded.
    std::uint64_t dropped() const;

private:
    void run();
    bool hasBudget();

    std::string m_instance;
    int m_descriptor;
    ring_signal m_signal;
    ring<std::string> m_lines;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_done{false};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::uint64_t m_budget = 0;
    std::chrono::steady_clock::time_point m_budgetSince;
    std::thread m_thread;
};

} // namespace mustardrouter
