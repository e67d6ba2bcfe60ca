#include "mustardrouter/Runtime/event_log.h"

#include "mustardrouter/Runtime/thread_name.h"

#include <unistd.h>

#include <chrono>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Maximum number of lines queued for the writer thread.
constexpr std::size_t ringCapacity = 1024;
/// Rate limit and burst size; a burst of refusals must not cost more than serving requests.
constexpr std::uint64_t linesPerSecond = 100;
/// Interval at which an idle writer thread checks whether to stop.
constexpr auto idlePollInterval = std::chrono::seconds(1);
/// close() polls the writer thread at this interval, at most maxClosePolls times.
constexpr auto closePollInterval = std::chrono::milliseconds(5);
constexpr int maxClosePolls = 40;

void appendQuoted(std::string &out, std::string_view text)
{
    out += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            out += '\\';
        }
        out += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    out += '"';
}

std::int64_t wallMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void writeAll(int descriptor, const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t size = ::write(descriptor, text.data() + done, text.size() - done);
        if (size <= 0) {
            return;
        }
        done += static_cast<std::size_t>(size);
    }
}

} // namespace

event_log::event_log(std::string instance, int descriptor)
    : m_instance(std::move(instance))
    , m_descriptor(descriptor)
    , m_lines(ringCapacity, m_signal)
    , m_budget(linesPerSecond)
    , m_budgetSince(std::chrono::steady_clock::now())
    , m_thread([this] {
        run();
    })
{
}

event_log::~event_log()
{
    close();
    m_thread.join();
}

void event_log::close()
{
    m_stop.store(true);
    m_signal.notify();
    for (int polls = 0; polls < maxClosePolls && !m_done.load(); ++polls) {
        std::this_thread::sleep_for(closePollInterval);
    }
}

bool event_log::hasBudget()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_budgetSince >= std::chrono::seconds(1)) {
        m_budgetSince = now;
        m_budget = linesPerSecond;
    }
    if (m_budget == 0) {
        return false;
    }
    m_budget -= 1;
    return true;
}

void event_log::write(std::string_view event, const fields &values)
{
    if (!hasBudget()) {
        m_dropped += 1;
        return;
    }
    std::string line = R"({"at":)" + std::to_string(wallMillis()) + R"(,"instance":)";
    appendQuoted(line, m_instance);
    line += R"(,"event":)";
    appendQuoted(line, event);
    for (const auto &[name, value] : values) {
        line += ',';
        appendQuoted(line, name);
        line += ':';
        appendQuoted(line, value);
    }
    if (m_dropped != m_droppedReported) {
        line += R"(,"dropped_before":)" + std::to_string(m_dropped);
    }
    line += "}\n";
    if (m_lines.offer(line) == failure::none) {
        m_droppedReported = m_dropped;
    } else {
        m_dropped += 1;
    }
}

std::uint64_t event_log::dropped() const
{
    return m_dropped;
}

void event_log::run()
{
    nameThread("log");
    while (true) {
        const bool stopping = m_stop.load();
        std::string batch;
        while (std::optional<std::string> line = m_lines.pop()) {
            batch += *line;
        }
        writeAll(m_descriptor, batch);
        if (stopping) {
            m_done.store(true);
            return;
        }
        m_signal.wait(idlePollInterval);
    }
}

} // namespace mustardrouter
