#include "mustardrouter/Instance/telemetry_thread.h"

#include "mustardrouter/Runtime/thread_name.h"

#include "mustardrouter/Runtime/log.h"

#include <fstream>

namespace mustardrouter
{

telemetry_thread::telemetry_thread(std::string file, std::string instance, std::size_t capacity)
    : m_file(std::move(file))
    , m_instance(std::move(instance))
    , m_spans(capacity, m_signal)
{
}

telemetry_thread::~telemetry_thread()
{
    stop();
}

void telemetry_thread::start()
{
    if (!enabled()) {
        return;
    }
    m_thread = std::thread([this] {
        nameThread("telemetry");
        run();
    });
}

void telemetry_thread::stop()
{
    m_stopping.store(true);
    m_signal.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool telemetry_thread::enabled() const
{
    return !m_file.empty();
}

void telemetry_thread::record(trace_span span)
{
    if (enabled() && m_spans.push(std::move(span)) != failure::none) {
        m_dropped.fetch_add(1);
    }
}

std::uint64_t telemetry_thread::dropped() const
{
    return m_dropped.load();
}

void telemetry_thread::run()
{
    constexpr auto wait = std::chrono::milliseconds(200);
    std::ofstream file(m_file, std::ios::app);
    if (!file) {
        writeLog(log_level::error, "telemetry", "the trace file cannot be opened", {{"file", m_file}});
    }
    while (!m_stopping.load() || m_spans.size() > 0) {
        m_signal.wait(wait);
        while (const std::optional<trace_span> span = m_spans.pop()) {
            file << toOtlpJson(*span, m_instance) << '\n';
        }
        file.flush();
    }
}

} // namespace mustardrouter
