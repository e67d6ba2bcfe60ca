#include "mustardrouter/Instance/decision_thread.h"

#include <array>

namespace mustardrouter
{

namespace
{

/// Slower requests are traced regardless of sampling.
constexpr duration slowRequestThreshold = std::chrono::milliseconds(250);

std::uint64_t toNanos(duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(span).count());
}

std::string toText(std::string_view text)
{
    return std::string(text);
}

struct hop {
    const char *name;
    duration elapsed;
};

} // namespace

std::string decision_thread::newId(std::size_t digitCount)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    constexpr std::size_t digitsPerWord = 16;
    std::string id;
    std::uint64_t bits = 0;
    for (std::size_t index = 0; index < digitCount; ++index) {
        if (index % digitsPerWord == 0) {
            bits = m_random();
        }
        id += digits[bits & 0xfU];
        bits >>= bitsPerDigit;
    }
    return id;
}

trace_context decision_thread::newSpan(const trace_context &parent)
{
    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    trace_context context = parent;
    if (context.traceId.empty()) {
        context.traceId = newId(traceIdDigits);
    }
    context.spanId = newId(spanIdDigits);
    return context;
}

/// Errors and slow requests are always traced; others when sampled by the caller or at random, or while
/// an operator follows traces. Outcome and latency are known only at the end, hence tail sampling.
bool decision_thread::wantsTrace(const answer_caller &action, bool sampled)
{
    const bool failedOrSlow = action.result.kind != outcome::done || action.elapsed >= slowRequestThreshold;
    const bool shouldRecord = failedOrSlow || sampled || m_outputs.recent.hasRecentReader();
    return shouldRecord && m_traceBudget.spend(now());
}

/// Builds the root span of a request and one child span for each hop, in chronological order.
request_trace decision_thread::makeTrace(const answer_caller &action, const trace_context &parent)
{
    const std::uint64_t end = unixNanos();
    const trace_context context = newSpan(parent);
    trace_span root;
    root.traceId = context.traceId;
    root.spanId = context.spanId;
    root.parentId = parent.spanId;
    root.name = "entry";
    root.startNanos = end - toNanos(action.elapsed);
    root.endNanos = end;
    root.failed = action.result.kind != outcome::done;
    root.attributes = {{"service", action.service.value()},
                       {"group", action.group.value()},
                       {"owner", action.owner.value()},
                       {"outcome", toText(toString(action.result.kind))},
                       {"failure", toText(toString(action.result.cause))},
                       {"detail", action.result.detail},
                       {"attempts", std::to_string(action.attempts)}};
    request_trace trace{root};
    if (!m_currentTimings) {
        return trace;
    }
    const request_hops &hops = *m_currentTimings;
    const duration atOwner = hops.queueTime + hops.runTime + hops.confirmationTime;
    const duration between = std::max(action.elapsed - atOwner, duration::zero());
    const std::array<hop, 4> parts{{{"way to the owner, rings and retries", between},
                                    {"owner's queue", hops.queueTime},
                                    {"database", hops.runTime},
                                    {"confirmation", hops.confirmationTime}}};
    std::uint64_t at = root.startNanos;
    for (const hop &part : parts) {
        trace_span span;
        span.traceId = root.traceId;
        span.spanId = newSpan(context).spanId;
        span.parentId = root.spanId;
        span.name = part.name;
        span.startNanos = at;
        at += toNanos(part.elapsed);
        span.endNanos = at;
        trace.push_back(std::move(span));
    }
    constexpr std::size_t databaseHop = 3;
    trace[databaseHop].attributes = {
        {"database", action.result.database.value()}, {"replica", action.result.fromReplica ? "yes" : "no"}, {"reason", hops.reason}};
    return trace;
}

void decision_thread::traceAnswer(const answer_caller &action)
{
    trace_context parent;
    const auto known = m_entryTraces.find({action.caller.value(), action.callerRequest});
    if (known != m_entryTraces.end()) {
        parent = std::move(known->second);
        m_entryTraces.erase(known);
    }
    const bool sampled = parent.sampled || std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.traceSampleRate;
    if (!wantsTrace(action, sampled)) {
        return;
    }
    request_trace trace = makeTrace(action, parent);
    for (const trace_span &span : trace) {
        m_outputs.telemetry.record(span);
    }
    m_outputs.recent.add(std::move(trace));
}

} // namespace mustardrouter
