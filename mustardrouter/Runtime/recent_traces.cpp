#include "mustardrouter/Runtime/recent_traces.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace mustardrouter
{

namespace
{

constexpr std::chrono::steady_clock::duration recentReaderTimeout = std::chrono::seconds(3);

std::int64_t steadyNow()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

bool matches(const request_trace &trace, const trace_filter &filter)
{
    const trace_span &root = trace.front();
    const bool service = filter.service.empty() || attributeOf(root, "service") == filter.service;
    return service && (filter.outcome.empty() || attributeOf(root, "outcome") == filter.outcome);
}

} // namespace

recent_traces::recent_traces(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_traces::add(request_trace trace)
{
    assert(!trace.empty());
    const std::lock_guard lock(m_mutex);
    m_traces.push_back(std::move(trace));
    if (m_traces.size() > m_capacity) {
        m_traces.pop_front();
        ++m_first;
    }
}

trace_page recent_traces::read(std::uint64_t from, std::size_t limit, const trace_filter &filter)
{
    m_readAt.store(steadyNow());
    const std::lock_guard lock(m_mutex);
    const std::uint64_t end = m_first + m_traces.size();
    trace_page page;
    page.missed = from < m_first ? m_first - from : 0;
    page.next = std::clamp(from, m_first, end);
    while (page.next < end && page.traces.size() < limit) {
        const request_trace &trace = m_traces[page.next - m_first];
        ++page.next;
        if (matches(trace, filter)) {
            page.traces.push_back(trace);
        }
    }
    return page;
}

bool recent_traces::hasRecentReader() const
{
    const std::int64_t readAt = m_readAt.load();
    return readAt != 0 && steadyNow() - readAt < recentReaderTimeout.count();
}

std::string attributeOf(const trace_span &span, const std::string &name)
{
    for (const auto &[key, value] : span.attributes) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace mustardrouter
