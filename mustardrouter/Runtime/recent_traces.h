#pragma once

#include "mustardrouter/Runtime/trace_span.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What a reader of recent traces wants to see; empty texts match everything.
struct trace_filter {
    std::string service;
    std::string outcome;
};

/// All spans of one request, the root first.
using request_trace = std::vector<trace_span>;

/// Traces that a reader gets, and where to go on.
struct trace_page {
    std::vector<request_trace> traces;
    /// Number of the first trace that the next page should bring.
    std::uint64_t next = 0;
    /// Traces that were dropped before the reader came for them.
    std::uint64_t missed = 0;
};

/// The last traces of an instance for operators to read; the oldest go when there is no room. Any thread.
class recent_traces
{
public:
    explicit recent_traces(std::size_t capacity);

    /// Adds a trace, which has a root.
    void add(request_trace trace);
    /// Traces from number `from` on, at most `limit` of them.
    trace_page read(std::uint64_t from, std::size_t limit, const trace_filter &filter);
    /// Whether somebody has read within the last seconds, so that live requests are worth keeping.
    bool isFollowed() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<request_trace> m_traces;
    /// Number of the oldest trace that is held.
    std::uint64_t m_first = 0;
    /// When somebody read last, as a count of the steady clock.
    std::atomic<std::int64_t> m_readAt{0};
};

/// Value of an attribute; empty when the span has none of that name.
std::string attributeOf(const trace_span &span, const std::string &name);

} // namespace mustardrouter
