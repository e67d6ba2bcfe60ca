#pragma once

#include "mustardrouter/Proxy/proxy_engine.h"
#include "mustardrouter/Proxy/reply_code.h"

#include <memory>
#include <string>

namespace mustardrouter
{

/// Counters and latency histograms of an instance on the users' platform, as text in Prometheus form.
/// Labels are bounded: outcomes come from an enumeration, causes of refusals are texts of the program.
class edge_metrics
{
public:
    edge_metrics();
    ~edge_metrics();
    edge_metrics(const edge_metrics &) = delete;
    edge_metrics &operator=(const edge_metrics &) = delete;

    /// Notes a statement's time from its arrival to its answer, in seconds.
    void recordStatement(reply_code outcome, double seconds);
    /// All figures; `sessions` are those that are open, `linesDropped` log lines that had no room.
    std::string text(const proxy_engine &engine, std::size_t sessions, std::uint64_t linesDropped) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardrouter
