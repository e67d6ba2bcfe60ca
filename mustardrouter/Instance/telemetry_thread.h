#pragma once

#include "mustardrouter/Runtime/ring.h"
#include "mustardrouter/Runtime/trace_span.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace mustardrouter
{

/// The thread that writes spans to a file, one line of OTLP JSON each. When the ring is full, spans
/// are dropped and counted, so that telemetry never delays a statement.
class telemetry_thread
{
public:
    /// An empty file name disables telemetry.
    telemetry_thread(std::string file, std::string instance, std::size_t capacity);
    ~telemetry_thread();
    telemetry_thread(const telemetry_thread &) = delete;
    telemetry_thread &operator=(const telemetry_thread &) = delete;

    void start();
    void stop();
    /// Whether a trace file is configured.
    bool enabled() const;
    /// Queues a span; only the decision thread may call this.
    void record(trace_span span);
    std::uint64_t dropped() const;

private:
    void run();

    std::string m_file;
    std::string m_instance;
    ring_signal m_signal;
    ring<trace_span> m_spans;
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mustardrouter
