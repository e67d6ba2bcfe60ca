#pragma once

#include "mustardrouter/Core/outcome.h"

#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Gauges of one database, set by the group's owner.
struct database_gauges {
    double lagEntries = 0;
    double connections = 0;
    double connectionLimit = 0;
};

/// Prometheus metrics of one instance. Label values are bounded: services and groups come from the
/// configuration, outcomes from the enumeration.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Serves the metrics at "IP:PORT"; false when the address cannot be bound.
    bool expose(const std::string &address);

    /// Counts a statement answered to a caller and records its latency.
    void countStatement(const std::string &service, outcome kind, double seconds);
    /// Counts a read, by whether the primary or a replica served it.
    void countRead(const std::string &group, bool fromReplica);
    /// Counts a term in which this instance began to serve a group.
    void countTermStarted(const std::string &group);
    /// Sets the number of statements in a group's queue.
    void setWaiting(const std::string &group, double count);
    /// Sets whether this instance serves a group.
    void setServing(const std::string &group, bool serving);
    /// Sets the gauges of one database.
    void setDatabase(const std::string &group, const std::string &database, const database_gauges &gauges);
    /// Sets the configuration revision in force.
    void setRevision(double revision);
    /// Counts spans dropped because the ring was full.
    void countSpansDropped(double count);
    /// Names of the families that have at least one metric.
    std::vector<std::string> names() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
