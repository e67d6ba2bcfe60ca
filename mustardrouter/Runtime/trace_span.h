#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// One hop of a request. Identifiers follow W3C Trace Context, in lowercase hexadecimal.
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

/// Identifiers that travel with a request.
struct trace_context {
    std::string traceId;
    std::string spanId;
    bool sampled = false;
};

/// Reads a "traceparent" header; a malformed one gives an empty context.
trace_context parseTraceParent(const std::string &header);

/// Writes a "traceparent" header.
std::string toTraceParent(const trace_context &context);

/// One span for a reader of the control interface.
Json::Value toJson(const trace_span &span);

/// One span as a line of OTLP JSON (ResourceSpans).
std::string toOtlpJson(const trace_span &span, const std::string &instance);

} // namespace mustardrouter
