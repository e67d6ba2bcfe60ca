#include "mustardrouter/Runtime/metrics.h"

#include "mustardrouter/Runtime/metric_description.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <exception>
#include <map>
#include <unordered_map>

namespace mustardrouter
{

namespace
{

constexpr std::size_t outcomes = 3;

const prometheus::Histogram::BucketBoundaries latencySeconds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

/// Cached metric handles of one service: looking them up by labels for each statement costs more than
/// routing the statement.
struct service_metrics {
    std::array<prometheus::Counter *, outcomes> byOutcome{};
    prometheus::Histogram *latency = nullptr;
};

struct read_counters {
    prometheus::Counter *primary = nullptr;
    prometheus::Counter *replica = nullptr;
};

} // namespace

struct metrics::parts {
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer;

    prometheus::Family<prometheus::Counter> &counter(const metric_description &what) const
    {
        return prometheus::BuildCounter().Name(what.name).Help(what.help).Register(*registry);
    }
    prometheus::Family<prometheus::Gauge> &gauge(const metric_description &what) const
    {
        return prometheus::BuildGauge().Name(what.name).Help(what.help).Register(*registry);
    }
    prometheus::Family<prometheus::Histogram> &histogram(const metric_description &what) const
    {
        return prometheus::BuildHistogram().Name(what.name).Help(what.help).Register(*registry);
    }

    prometheus::Family<prometheus::Counter> &statements = counter(metric::statements);
    prometheus::Family<prometheus::Histogram> &latency = histogram(metric::latency);
    prometheus::Family<prometheus::Counter> &reads = counter(metric::reads);
    prometheus::Family<prometheus::Counter> &terms = counter(metric::terms);
    prometheus::Family<prometheus::Gauge> &waiting = gauge(metric::waiting);
    prometheus::Family<prometheus::Gauge> &serving = gauge(metric::serving);
    prometheus::Family<prometheus::Gauge> &lag = gauge(metric::lag);
    prometheus::Family<prometheus::Gauge> &connections = gauge(metric::connections);
    prometheus::Family<prometheus::Gauge> &connectionLimit = gauge(metric::connectionLimit);
    prometheus::Gauge &revision = gauge(metric::revision).Add({});
    prometheus::Counter &spansDropped = counter(metric::spansDropped).Add({});

    std::unordered_map<std::string, service_metrics> services;
    std::unordered_map<std::string, read_counters> groups;

    service_metrics &metricsOf(const std::string &service)
    {
        const auto [found, added] = services.try_emplace(service);
        service_metrics &handles = found->second;
        if (!added) {
            return handles;
        }
        for (std::size_t index = 0; index < outcomes; ++index) {
            const std::string name(toString(static_cast<outcome>(index)));
            handles.byOutcome[index] = &statements.Add({{"service", service}, {"outcome", name}});
        }
        handles.latency = &latency.Add({{"service", service}}, latencySeconds);
        return handles;
    }

    read_counters &readCountersOf(const std::string &group)
    {
        const auto [found, added] = groups.try_emplace(group);
        if (added) {
            found->second.primary = &reads.Add({{"group", group}, {"database", "primary"}});
            found->second.replica = &reads.Add({{"group", group}, {"database", "replica"}});
        }
        return found->second;
    }
};

metrics::metrics()
    : m_parts(std::make_unique<parts>())
{
}

metrics::~metrics() = default;

bool metrics::expose(const std::string &address)
{
    try {
        m_parts->exposer = std::make_unique<prometheus::Exposer>(address, 1);
        m_parts->exposer->RegisterCollectable(m_parts->registry);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

void metrics::countStatement(const std::string &service, outcome kind, double seconds)
{
    service_metrics &handles = m_parts->metricsOf(service);
    handles.byOutcome.at(static_cast<std::size_t>(kind))->Increment();
    handles.latency->Observe(seconds);
}

void metrics::countRead(const std::string &group, bool fromReplica)
{
    const read_counters &counters = m_parts->readCountersOf(group);
    (fromReplica ? counters.replica : counters.primary)->Increment();
}

void metrics::countTermStarted(const std::string &group)
{
    m_parts->terms.Add({{"group", group}}).Increment();
}

void metrics::setWaiting(const std::string &group, double count)
{
    m_parts->waiting.Add({{"group", group}}).Set(count);
}

void metrics::setServing(const std::string &group, bool serving)
{
    m_parts->serving.Add({{"group", group}}).Set(serving ? 1 : 0);
}

void metrics::setDatabase(const std::string &group, const std::string &database, const database_gauges &gauges)
{
    const std::map<std::string, std::string> labels{{"group", group}, {"database", database}};
    m_parts->lag.Add(labels).Set(gauges.lagEntries);
    m_parts->connections.Add(labels).Set(gauges.connections);
    m_parts->connectionLimit.Add(labels).Set(gauges.connectionLimit);
}

void metrics::setRevision(double revision)
{
    m_parts->revision.Set(revision);
}

void metrics::countSpansDropped(double count)
{
    m_parts->spansDropped.Increment(count);
}

std::vector<std::string> metrics::names() const
{
    std::vector<std::string> names;
    for (const prometheus::MetricFamily &family : m_parts->registry->Collect()) {
        names.push_back(family.name);
    }
    return names;
}

} // namespace mustardrouter
