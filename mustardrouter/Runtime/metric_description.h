#pragma once

#include <array>

namespace mustardrouter
{

/// Description of a metric family; the name includes the unit.
struct metric_description {
    const char *name;
    const char *type;
    /// Comma-separated label names. The values of each are bounded by the configuration or an enumeration.
    const char *labels;
    const char *help;
};

/// All metric families that an instance exposes. docs/METRICS.md must list the same.
namespace metric
{

constexpr metric_description statements{"mustardrouter_statements_total", "counter", "service, outcome", "Statements answered to callers"};
constexpr metric_description latency{
    "mustardrouter_statement_seconds", "histogram", "service", "Time from a statement's arrival to its answer"};
constexpr metric_description reads{"mustardrouter_reads_total", "counter", "group, database", "Reads served by the primary or a replica"};
constexpr metric_description terms{"mustardrouter_terms_started_total", "counter", "group", "Terms that this instance began as owner"};
constexpr metric_description waiting{"mustardrouter_waiting_statements", "gauge", "group", "Statements in the queue of an owned group"};
constexpr metric_description serving{
    "mustardrouter_group_serving", "gauge", "group", "1 while this instance owns and serves the group, else 0"};
constexpr metric_description lag{
    "mustardrouter_replica_lag_entries", "gauge", "group, database", "Log entries that a replica of an owned group has not applied"};
constexpr metric_description connections{
    "mustardrouter_database_connections", "gauge", "group, database", "Connections of an owned group's pool that are open or being opened"};
constexpr metric_description connectionLimit{
    "mustardrouter_database_connections_limit", "gauge", "group, database", "Connections that may be open to the database"};
constexpr metric_description revision{"mustardrouter_configuration_revision", "gauge", "", "Revision of the configuration in force"};
constexpr metric_description spansDropped{
    "mustardrouter_trace_spans_dropped_total", "counter", "", "Spans that were not written because the telemetry thread was behind"};

constexpr std::array<const metric_description *, 11> all{
    &statements, &latency, &reads, &terms, &waiting, &serving, &lag, &connections, &connectionLimit, &revision, &spansDropped};

} // namespace metric

} // namespace mustardrouter
