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

/// Filter for recent traces; empty strings match everything.
struct trace_filter {
    std::string service;
    std::string outcome;
};

/// All spans of one request, the root first.
using request_trace = std::vector<trace_span>;

/// One page of traces.
struct trace_page {
    std::vector<request_trace> traces;
    /// Number of the trace at which the next page starts.
    std::uint64_t next = 0;
    /// Number of requested traces that had been dropped already.
    std::uint64_t missed = 0;
};

/// Buffer of an instance's most recent traces, for operators. Drops the oldest when full. Thread-safe.
class recent_traces
{
public:
    explicit recent_traces(std::size_t capacity);

    /// Adds a trace, which must not be empty.
    void add(request_trace trace);
    /// Returns matching traces from number `from` on, at most `limit`.
    trace_page read(std::uint64_t from, std::size_t limit, const trace_filter &filter);
    /// Whether read() was called within the last seconds, so that live requests should be traced.
    bool hasRecentReader() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<request_trace> m_traces;
    /// Number of the oldest buffered trace.
    std::uint64_t m_first = 0;
    /// Time of the last read(), in ticks of the steady clock; 0 before the first.
    std::atomic<std::int64_t> m_readAt{0};
};

/// Value of an attribute; empty when the span does not have it.
std::string attributeOf(const trace_span &span, const std::string &name);

} // namespace mustardrouter
