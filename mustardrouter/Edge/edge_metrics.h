#pragma once

#include "mustardrouter/Membership/change_feed.h"
#include "mustardrouter/Proxy/proxy_engine.h"
#include "mustardrouter/Proxy/reply_code.h"

#include <memory>
#include <string>

namespace mustardrouter
{

/// Counters and latency histograms of an instance on the users' platform, in the Prometheus text format.
/// Label values are bounded: outcomes come from an enumeration, refusal causes are string constants of the program, and of the
/// workspaces only the ten with the most use are named.
class edge_metrics
{
public:
    edge_metrics();
    ~edge_metrics();
    edge_metrics(const edge_metrics &) = delete;
    edge_metrics &operator=(const edge_metrics &) = delete;

    /// Records the time from the arrival of a statement to its reply.
    void recordStatement(reply_code outcome, double seconds);
    /// Records the time from the cause of a promotion to the first write that the new primary served.
    void recordFirstWrite(failover_cause cause, double seconds);
    /// Figures of this instance's use of the platform's store.
    struct store_figures {
        /// Confirmed writes of its own entry.
        std::uint64_t entriesWritten = 0;
        /// Entries of lost instances that it has marked, and removed.
        std::uint64_t entriesMarked = 0;
        std::uint64_t entriesRemoved = 0;
        /// Time from the last loss of the store's history until all was listed again.
        duration listedAgainAfter{};
        /// Where changes come from, and for how many others.
        feed_role role = feed_role::alone;
        std::size_t followers = 0;
        /// Time since which the oldest copy is known to be complete.
        duration age{};
        /// Requests for lists and changes.
        std::uint64_t requests = 0;
        /// Answers of which only a part arrived.
        std::uint64_t incompleteAnswers = 0;
        /// Changes that a source named without telling them.
        std::uint64_t changesNotTold = 0;
        /// Objects in answers that could not be read, and entries of databases and instances that are ignored now.
        std::uint64_t unreadableObjects = 0;
        std::size_t ignoredEntries = 0;
    };

    /// Formats all metrics. `sessions` is the number of open sessions, `linesDropped` the number of dropped log lines.
    std::string text(
        const proxy_engine &engine, std::size_t sessions, std::uint64_t linesDropped, const store_figures &store, time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardrouter
