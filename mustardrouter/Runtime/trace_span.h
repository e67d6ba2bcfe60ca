#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Span of one hop of a request. Identifiers follow W3C Trace Context, in lowercase hexadecimal.
struct trace_span {
    std::string traceId;
    std::string spanId;
    std::string parentId;
    std::string name;
    std::uint64_t startNanos = 0;
    std::uint64_t endNanos = 0;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Trace context propagated with a request.
struct trace_context {
    std::string traceId;
    std::string spanId;
    bool sampled = false;
};

/// Parses a "traceparent" header; returns an empty context when it is malformed.
trace_context parseTraceParent(const std::string &header);

/// Formats a "traceparent" header.
std::string toTraceParent(const trace_context &context);

/// Formats a span for the control interface.
Json::Value toJson(const trace_span &span);

/// Formats a span as one line of OTLP JSON (ResourceSpans).
std::string toOtlpJson(const trace_span &span, const std::string &instance);

} // namespace mustardrouter
