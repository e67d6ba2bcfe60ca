#include "mustardrouter/Edge/edge_metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace mustardrouter
{

namespace
{

/// Upper bounds of the latency buckets in seconds. The latency targets of the users' routes are 0.5 to 1.2 s.
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3};

/// Value of a label, with the characters escaped that the text format reserves.
std::string escaped(const std::string &value)
{
    std::string text;
    for (const char letter : value) {
        if (letter == '\\' || letter == '"') {
            text += '\\';
        }
        text += letter;
    }
    return text;
}

std::string appendTypeLine(std::string &text, const char *name, const char *type)
{
    std::string full = std::string("mustardrouter_") + name;
    text += "# TYPE " + full + " " + type + "\n";
    return full;
}

void appendWorkspaces(std::string &text, const std::vector<workspace_figures> &workspaces)
{
    const auto appendOfEach = [&](const char *name, const char *type, const auto &valueOf) {
        const std::string full = appendTypeLine(text, name, type);
        for (const workspace_figures &one : workspaces) {
            text += full + "{workspace=\"" + escaped(one.label) + "\"} " + std::to_string(valueOf(one)) + "\n";
        }
    };
    appendOfEach("workspace_operations_total", "counter", std::mem_fn(&workspace_figures::operations));
    const std::string refusals = appendTypeLine(text, "workspace_refusals_total", "counter");
    for (const workspace_figures &one : workspaces) {
        for (const auto &[reason, count] : one.refusalsByReason) {
            text += refusals + "{workspace=\"" + escaped(one.label) + "\",reason=\"" + std::string(reason) + "\"} " + std::to_string(count)
                    + "\n";
        }
    }
    appendOfEach("workspace_limit", "gauge", std::mem_fn(&workspace_figures::limit));
    appendOfEach("workspace_share_in_use", "gauge", std::mem_fn(&workspace_figures::shareInUse));
}

/// Upper bounds of the buckets of outages in seconds. A promotion takes 0.3 to 1 s from its order.
const prometheus::Histogram::BucketBoundaries outageBuckets{0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 15};

/// Who shares the limits of workspaces, and what this instance holds of them.
void appendLimits(std::string &text, const limit_engine &limits)
{
    const std::string members = appendTypeLine(text, "limit_members", "gauge");
    text += members + " " + std::to_string(limits.ownership.owned) + "\n";
    const std::string share = appendTypeLine(text, "limit_share_held", "gauge");
    for (std::size_t slot = 0; slot < limits.pool.slots.size(); ++slot) {
        text += share + "{slot=\"" + std::to_string(slot) + "\"} " + std::to_string(limits.pool.slots[slot].share) + "\n";
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

namespace
{

/// The lines of the metrics that tell where this instance learns of the store's changes.
std::string feedText(const edge_metrics::store_figures &store)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(store.age);
    std::string text = "# TYPE mustardrouter_store_requests_total counter\nmustardrouter_store_requests_total "
                       + std::to_string(store.requests)
                       + "\n# TYPE mustardrouter_store_answers_incomplete_total counter\nmustardrouter_store_answers_incomplete_total "
                       + std::to_string(store.incompleteAnswers)
                       + "\n# TYPE mustardrouter_store_changes_not_told_total counter\nmustardrouter_store_changes_not_told_total "
                       + std::to_string(store.changesNotTold) + "\n# TYPE mustardrouter_store_changes_from gauge\n";
    for (const feed_role role : {feed_role::alone, feed_role::watching, feed_role::following, feed_role::asking}) {
        text += std::string("mustardrouter_store_changes_from{role=\"") + toString(role) + "\"} " + (role == store.role ? "1" : "0") + "\n";
    }
    return text + "# TYPE mustardrouter_store_changes_followers gauge\nmustardrouter_store_changes_followers "
           + std::to_string(store.followers)
           + "\n# TYPE mustardrouter_store_changes_age_milliseconds gauge\nmustardrouter_store_changes_age_milliseconds "
           + std::to_string(age.count()) + "\n";
}

/// Sums over all groups of databases.
struct group_figures {
    std::size_t waiting = 0;
    std::size_t withoutLead = 0;
    std::size_t relaying = 0;
    std::size_t suspectedHolders = 0;
};

group_figures figuresOf(const std::map<group_name, group_state> &groups)
{
    group_figures figures;
    for (const auto &[name, group] : groups) {
        figures.waiting += group.waiting.size();
        figures.withoutLead += group.primary ? 0 : 1;
        figures.relaying += group.holders.empty() ? 0 : 1;
        figures.suspectedHolders += static_cast<std::size_t>(std::ranges::count_if(group.holders, [](const auto &holder) {
            return holder.second.suspectedSince != time_point{};
        }));
    }
    return figures;
}

} // namespace

std::string edge_metrics::text(
    const proxy_engine &engine, std::size_t sessions, std::uint64_t linesDropped, const store_figures &store, time_point now) const
{
    const proxy_counters &counters = engine.counters;
    std::string text;
    const auto appendMetric = [&](const char *name, const char *type, std::uint64_t value) {
        text += appendTypeLine(text, name, type) + " " + std::to_string(value) + "\n";
    };
    appendMetric("statements_total", "counter", counters.statements);
    appendMetric("replica_reads_total", "counter", counters.replicaReads);
    appendMetric("primary_reads_total", "counter", counters.primaryReads);
    appendMetric("refusals_total", "counter", counters.refusals);
    const std::string byCause = appendTypeLine(text, "refusals_by_cause_total", "counter");
    for (const auto &[cause, count] : counters.refusalsByCause) {
        text += byCause + "{cause=\"" + std::string(cause) + "\"} " + std::to_string(count) + "\n";
    }
    appendMetric("in_doubt_total", "counter", counters.inDoubt);
    appendMetric("retries_total", "counter", counters.retries);
    appendMetric("late_answers_total", "counter", counters.lateReplies);
    appendMetric("connections_opened_total", "counter", counters.connectionsOpened);
    appendMetric("connections_refused_total", "counter", counters.connectionsRefused);
    appendMetric("lead_questions_total", "counter", counters.primaryChecks);
    appendMetric("promotion_orders_total", "counter", counters.promotionOrders);
    appendMetric("lead_changes_total", "counter", counters.primaryChanges);
    appendMetric("replies_held_total", "counter", counters.repliesHeld);
    appendMetric("replies_held_microseconds_total", "counter", counters.repliesHeldMicros);
    appendMetric("replies_not_verified_total", "counter", counters.repliesNotVerified);
    appendMetric("transactions_left_open_total", "counter", counters.transactionsLeftOpen);
    appendMetric("promotions_given_up_total", "counter", counters.promotionsGivenUp);
    appendMetric("step_downs_sent_total", "counter", counters.stepDownsSent);
    appendMetric("statements_relayed_total", "counter", counters.statementsRelayed);
    appendMetric("relayed_not_handled_total", "counter", counters.relayedNotHandled);
    appendMetric("relayed_to_other_route_total", "counter", counters.relayedToOtherRoute);
    appendMetric("relayed_refused_total", "counter", counters.relayedRefused);
    appendMetric("unknown_keys_total", "counter", counters.unknownKeys);
    appendMetric("keys_withdrawn_total", "counter", counters.keysWithdrawn);
    appendMetric("connections_replaced_total", "counter", counters.connectionsReplaced);
    appendWorkspaces(text, figuresOf(counters.workspaces, engine.routes.workspaces, now));
    appendMetric("log_lines_dropped_total", "counter", linesDropped);
    appendMetric("store_histories_lost_total", "counter", counters.storeHistoriesLost);
    appendMetric("store_objects_unreadable_total", "counter", store.unreadableObjects);
    appendMetric("entries_ignored", "gauge", store.ignoredEntries);
    appendMetric("own_entries_written_total", "counter", store.entriesWritten);
    appendMetric("lost_entries_marked_total", "counter", store.entriesMarked);
    appendMetric("lost_entries_removed_total", "counter", store.entriesRemoved);
    appendMetric("store_era", "gauge", engine.storeEra.value());
    const auto listedAgainAfter = std::chrono::duration_cast<std::chrono::milliseconds>(store.listedAgainAfter);
    appendMetric("store_listed_again_milliseconds", "gauge", static_cast<std::uint64_t>(listedAgainAfter.count()));
    text += feedText(store);
    appendMetric("sessions", "gauge", sessions);
    appendMetric("connections", "gauge", engine.connections.size());
    const group_figures groups = figuresOf(engine.groups);
    appendMetric("waiting_sessions", "gauge", groups.waiting);
    appendMetric("groups_without_lead", "gauge", groups.withoutLead);
    appendMetric("groups_relayed", "gauge", groups.relaying);
    appendMetric("holders_suspected", "gauge", groups.suspectedHolders);
    appendMetric("instances_listed", "gauge", engine.instances.size());
    appendMetric("configuration_version", "gauge", engine.routes.version.value());
    if (!engine.limits.limits.empty()) {
        appendLimits(text, engine.limits);
    }
    return text + prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace mustardrouter
