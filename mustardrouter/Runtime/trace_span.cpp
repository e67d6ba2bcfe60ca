#include "mustardrouter/Runtime/trace_span.h"

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <cctype>

namespace mustardrouter
{

namespace
{

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t headerLength = 55;

bool isHex(const std::string &text)
{
    return std::ranges::all_of(text, [](unsigned char character) {
        return std::isxdigit(character) != 0 && std::isupper(character) == 0;
    });
}

Json::Value attribute(const std::string &key, const std::string &value)
{
    Json::Value item(Json::objectValue);
    item["key"] = key;
    item["value"]["stringValue"] = value;
    return item;
}

} // namespace

trace_context parseTraceParent(const std::string &header)
{
    if (header.size() != headerLength || header[2] != '-' || header[35] != '-' || header[52] != '-') {
        return {};
    }
    trace_context context;
    context.traceId = header.substr(3, traceIdDigits);
    context.spanId = header.substr(36, spanIdDigits);
    if (!isHex(context.traceId) || !isHex(context.spanId)) {
        return {};
    }
    context.sampled = (header[54] - '0') % 2 == 1;
    return context;
}

std::string toTraceParent(const trace_context &context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

Json::Value toJson(const trace_span &span)
{
    Json::Value item(Json::objectValue);
    item["traceId"] = span.traceId;
    item["name"] = span.name;
    item["startNanos"] = Json::UInt64(span.startNanos);
    item["endNanos"] = Json::UInt64(span.endNanos);
    item["failed"] = span.failed;
    item["attributes"] = Json::Value(Json::objectValue);
    for (const auto &[key, value] : span.attributes) {
        item["attributes"][key] = value;
    }
    return item;
}

std::string toOtlpJson(const trace_span &span, const std::string &instance)
{
    constexpr int statusError = 2;
    Json::Value item(Json::objectValue);
    item["traceId"] = span.traceId;
    item["spanId"] = span.spanId;
    item["parentSpanId"] = span.parentId;
    item["name"] = span.name;
    item["startTimeUnixNano"] = std::to_string(span.startNanos);
    item["endTimeUnixNano"] = std::to_string(span.endNanos);
    if (span.failed) {
        item["status"]["code"] = statusError;
    }
    for (const auto &[key, value] : span.attributes) {
        item["attributes"].append(attribute(key, value));
    }
    Json::Value scope(Json::objectValue);
    scope["scope"]["name"] = "mustardrouter";
    scope["spans"].append(item);
    Json::Value resource(Json::objectValue);
    resource["resource"]["attributes"].append(attribute("service.instance.id", instance));
    resource["scopeSpans"].append(scope);
    Json::Value root(Json::objectValue);
    root["resourceSpans"].append(resource);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root);
}

} // namespace mustardrouter
