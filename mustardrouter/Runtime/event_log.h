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

/// Structured lines on standard output, one JSON object each. A thread of its own writes them, so
/// that a reader that does not read holds up nobody; what has no room is dropped and counted.
class event_log
{
public:
    using fields = std::vector<std::pair<const char *, std::string>>;

    /// Writes to `descriptor`, which is standard output but in tests.
    explicit event_log(std::string instance, int descriptor = 1);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Adds a line; called by one thread only.
    void write(std::string_view event, const fields &values);
    /// Writes what is left, for a moment at most; nothing is written afterwards.
    void close();
    /// Lines that had no room or were above the budget.
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
