#include "mustardrouter/Edge/edge_metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace mustardrouter
{

namespace
{

/// Upper bounds of the latency buckets in seconds. The latency targets of the users' routes are 0.5 to 1.2 s.
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3};

/// Upper bounds of the buckets of outages in seconds. A promotion takes 0.3 to 1 s from its order.
const prometheus::Histogram::BucketBoundaries outageBuckets{0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 15};

/// Workspaces with figures of their own; the others are summed.
constexpr std::size_t workspacesShown = 10;

std::string escapedLabel(const std::string &value)
{
    std::string escaped;
    for (const char letter : value) {
        if (letter == '\n') {
            escaped += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            escaped += '\\';
        }
        escaped += letter;
    }
    return escaped;
}

/// Operations, refusals, limits and shares of the workspaces that this instance sends most operations for.
void appendWorkspaces(std::string &text, const limit_engine &limits)
{
    if (limits.limits.empty()) {
        return;
    }
    std::vector<std::pair<workspace_name, const limit_use *>> uses;
    for (const auto &[name, use] : limits.spender.uses) {
        uses.emplace_back(name, &use);
    }
    std::ranges::stable_sort(uses, std::greater<>(), [](const auto &entry) {
        return entry.second->operations + entry.second->refusals;
    });
    std::string operations = "# TYPE mustardrouter_workspace_operations_total counter\n";
    std::string refusals = "# TYPE mustardrouter_workspace_refusals_total counter\n";
    std::string rates = "# TYPE mustardrouter_workspace_limit_per_second gauge\n";
    std::uint64_t otherOperations = 0;
    std::uint64_t otherRefusals = 0;
    const auto append = [](std::string &to, const char *metric, const std::string &workspace, const std::string &value) {
        to += std::string("mustardrouter_workspace_") + metric + "{workspace=\"" + workspace + "\"} " + value + "\n";
    };
    for (std::size_t index = 0; index < uses.size(); ++index) {
        const auto &[name, use] = uses[index];
        if (index >= workspacesShown) {
            otherOperations += use->operations;
            otherRefusals += use->refusals;
            continue;
        }
        const std::string label = escapedLabel(name.value());
        append(operations, "operations_total", label, std::to_string(use->operations));
        append(refusals, "refusals_total", label, std::to_string(use->refusals));
        const auto limit = limits.limits.find(name);
        if (limit != limits.limits.end()) {
            append(rates, "limit_per_second", label, std::to_string(limit->second.operationsPerSecond));
        }
    }
    // No workspace has an empty name.
    append(operations, "operations_total", "", std::to_string(otherOperations));
    append(refusals, "refusals_total", "", std::to_string(otherRefusals));
    text += operations + refusals + rates;
    text += "# TYPE mustardrouter_limit_members gauge\nmustardrouter_limit_members " + std::to_string(limits.ownership.owned) + "\n";
    text += "# TYPE mustardrouter_limit_share_held gauge\n";
    for (std::size_t slot = 0; slot < limits.pool.slots.size(); ++slot) {
        text +=
            "mustardrouter_limit_share_held{slot=\"" + std::to_string(slot) + "\"} " + std::to_string(limits.pool.slots[slot].share) + "\n";
    }
}

} // namespace

/// The Prometheus registry and one latency histogram for each outcome seen so far.
struct edge_metrics::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &latencies = prometheus::BuildHistogram()
                                                               .Name("mustardrouter_statement_seconds")
                                                               .Help("Time from a statement's arrival to its answer")
                                                               .Register(registry);
    std::map<reply_code, prometheus::Histogram *> byOutcome;
    prometheus::Family<prometheus::Histogram> &firstWrites = prometheus::BuildHistogram()
                                                                 .Name("mustardrouter_first_write_seconds")
                                                                 .Help("Time from the cause of a promotion to the first write after it")
                                                                 .Register(registry);
    std::map<failover_cause, prometheus::Histogram *> byCause;
};

edge_metrics::edge_metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

edge_metrics::~edge_metrics() = default;

void edge_metrics::recordStatement(reply_code outcome, double seconds)
{
    prometheus::Histogram *&histogram = m_implementation->byOutcome[outcome];
    if (histogram == nullptr) {
        histogram = &m_implementation->latencies.Add({{"outcome", std::string(toString(outcome))}}, latencyBuckets);
    }
    histogram->Observe(seconds);
}

void edge_metrics::recordFirstWrite(failover_cause cause, double seconds)
{
    prometheus::Histogram *&histogram = m_implementation->byCause[cause];
    if (histogram == nullptr) {
        histogram = &m_implementation->firstWrites.Add({{"cause", toString(cause)}}, outageBuckets);
    }
    histogram->Observe(seconds);
}

std::string edge_metrics::text(const proxy_engine &engine,
                               std::size_t sessions,
                               std::uint64_t linesDropped,
                               const store_figures &store) const
{
    const proxy_counters &counters = engine.counters;
    std::string text;
    const auto appendTypeLine = [&](const char *name, const char *type) {
        std::string full = std::string("mustardrouter_") + name;
        text += "# TYPE " + full + " " + type + "\n";
        return full;
    };
    const auto appendMetric = [&](const char *name, const char *type, std::uint64_t value) {
        text += appendTypeLine(name, type) + " " + std::to_string(value) + "\n";
    };
    appendMetric("statements_total", "counter", counters.statements);
    appendMetric("replica_reads_total", "counter", counters.replicaReads);
    appendMetric("primary_reads_total", "counter", counters.primaryReads);
    appendMetric("refusals_total", "counter", counters.refusals);
    const std::string byCause = appendTypeLine("refusals_by_cause_total", "counter");
    for (const auto &[cause, count] : counters.refusalsByCause) {
        text += byCause + "{cause=\"" + std::string(cause) + "\"} " + std::to_string(count) + "\n";
    }
    appendMetric("in_doubt_total", "counter", counters.inDoubt);
    appendMetric("retries_total", "counter", counters.retries);
    appendMetric("connections_opened_total", "counter", counters.connectionsOpened);
    appendMetric("connections_refused_total", "counter", counters.connectionsRefused);
    appendMetric("lead_questions_total", "counter", counters.primaryChecks);
    appendMetric("promotion_orders_total", "counter", counters.promotionOrders);
    appendMetric("lead_changes_total", "counter", counters.primaryChanges);
    appendMetric("replies_held_total", "counter", counters.repliesHeld);
    appendMetric("replies_held_microseconds_total", "counter", counters.repliesHeldMicros);
    appendMetric("replies_not_verified_total", "counter", counters.repliesNotVerified);
    appendMetric("step_downs_sent_total", "counter", counters.stepDownsSent);
    appendMetric("statements_relayed_total", "counter", counters.statementsRelayed);
    appendMetric("log_lines_dropped_total", "counter", linesDropped);
    appendMetric("store_histories_lost_total", "counter", counters.storeHistoriesLost);
    appendMetric("own_entries_written_total", "counter", store.entriesWritten);
    appendMetric("store_era", "gauge", engine.storeEra.value());
    const auto listedAgainAfter = std::chrono::duration_cast<std::chrono::milliseconds>(store.listedAgainAfter);
    appendMetric("store_listed_again_milliseconds", "gauge", static_cast<std::uint64_t>(listedAgainAfter.count()));
    appendMetric("sessions", "gauge", sessions);
    appendMetric("connections", "gauge", engine.connections.size());
    std::size_t waiting = 0;
    std::size_t withoutLead = 0;
    std::size_t relaying = 0;
    std::size_t suspectedHolders = 0;
    for (const auto &[name, group] : engine.groups) {
        waiting += group.waiting.size();
        withoutLead += group.primary ? 0 : 1;
        relaying += group.holders.empty() ? 0 : 1;
        suspectedHolders += static_cast<std::size_t>(std::ranges::count_if(group.holders, [](const auto &holder) {
            return holder.second.suspectedSince != time_point{};
        }));
    }
    appendMetric("waiting_sessions", "gauge", waiting);
    appendMetric("groups_without_lead", "gauge", withoutLead);
    appendMetric("groups_relayed", "gauge", relaying);
    appendMetric("holders_suspected", "gauge", suspectedHolders);
    appendMetric("instances_listed", "gauge", engine.instances.size());
    appendMetric("configuration_version", "gauge", engine.routes.version.value());
    appendWorkspaces(text, engine.limits);
    return text + prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace mustardrouter
