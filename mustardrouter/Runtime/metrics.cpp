#include "mustardrouter/Runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <exception>

namespace mustardrouter
{

namespace
{

const prometheus::Histogram::BucketBoundaries latencySeconds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace

struct metrics::parts {
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer;
    prometheus::Family<prometheus::Counter> &statements =
        prometheus::BuildCounter().Name("mustardrouter_statements_total").Help("Statements answered to callers").Register(*registry);
    prometheus::Family<prometheus::Histogram> &latency = prometheus::BuildHistogram()
                                                             .Name("mustardrouter_statement_seconds")
                                                             .Help("Time from a statement's arrival to its answer")
                                                             .Register(*registry);
    prometheus::Family<prometheus::Counter> &reads =
        prometheus::BuildCounter().Name("mustardrouter_reads_total").Help("Reads by kind of database").Register(*registry);
    prometheus::Family<prometheus::Counter> &terms =
        prometheus::BuildCounter().Name("mustardrouter_terms_started_total").Help("Terms begun as owner").Register(*registry);
    prometheus::Family<prometheus::Gauge> &waiting =
        prometheus::BuildGauge().Name("mustardrouter_waiting_statements").Help("Statements in a group's queue").Register(*registry);
    prometheus::Family<prometheus::Gauge> &revision =
        prometheus::BuildGauge().Name("mustardrouter_configuration_revision").Help("Configuration in force").Register(*registry);
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
    m_parts->statements.Add({{"service", service}, {"outcome", std::string(toString(kind))}}).Increment();
    m_parts->latency.Add({{"service", service}}, latencySeconds).Observe(seconds);
}

void metrics::countRead(const std::string &group, bool fromReplica)
{
    m_parts->reads.Add({{"group", group}, {"database", fromReplica ? "replica" : "primary"}}).Increment();
}

void metrics::countTermStarted(const std::string &group)
{
    m_parts->terms.Add({{"group", group}}).Increment();
}

void metrics::setWaiting(const std::string &group, double count)
{
    m_parts->waiting.Add({{"group", group}}).Set(count);
}

void metrics::setRevision(double revision)
{
    m_parts->revision.Add({}).Set(revision);
}

} // namespace mustardrouter
