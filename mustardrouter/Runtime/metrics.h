#pragma once

#include "mustardrouter/Core/outcome.h"

#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What an owner knows of one database.
struct database_gauges {
    double lagEntries = 0;
    double connections = 0;
    double connectionLimit = 0;
};

/// Figures of one instance in Prometheus form. Labels are bounded: services and groups come from
/// the configuration, outcomes from the enumeration.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Serves the figures at "IP:PORT"; false when the address cannot be had.
    bool expose(const std::string &address);

    /// Counts a statement answered to a caller and its time in seconds.
    void countStatement(const std::string &service, outcome kind, double seconds);
    /// Counts a read by where it was served.
    void countRead(const std::string &group, bool fromReplica);
    /// Counts a term in which this instance began to serve a group.
    void countTermStarted(const std::string &group);
    /// Sets how many statements wait in a group's queue.
    void setWaiting(const std::string &group, double count);
    /// Sets whether this instance serves a group.
    void setServing(const std::string &group, bool serving);
    /// Sets what an owner knows of one database.
    void setDatabase(const std::string &group, const std::string &database, const database_gauges &gauges);
    /// Sets the configuration revision in force.
    void setRevision(double revision);
    /// Counts spans that had no room.
    void countSpansDropped(double count);
    /// Names of the families that have a figure.
    std::vector<std::string> names() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
