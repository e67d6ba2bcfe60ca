#pragma once

#include "mustardrouter/Core/outcome.h"

#include <memory>
#include <string>

namespace mustardrouter
{

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
    /// Sets the configuration revision in force.
    void setRevision(double revision);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
