#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Timeouts and intervals of failure detection, takeover and promotion.
struct ownership_settings {
    /// Interval between heartbeats of an owner to a deputy.
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Time without heartbeats after which the first deputy takes over; each further deputy waits this long again.
    duration ownerHeartbeatTimeout = std::chrono::milliseconds(600);
    /// Time without a report after which a primary is probed, and interval between rounds of reports while the
    /// group is not served.
    duration probeInterval = std::chrono::milliseconds(40);
    /// Interval between rounds of reports from all databases of a served group. Replicas also report changes
    /// unsolicited.
    duration reportInterval = std::chrono::milliseconds(150);
    /// Time without a report after which a database counts as unresponsive. A primary that has not answered a
    /// statement for that time either is replaced.
    duration primaryReportTimeout = std::chrono::milliseconds(300);
    /// Time without a report after which a database's control connection is replaced; grows with each
    /// replacement.
    duration controlConnectionTimeout = std::chrono::milliseconds(150);
    /// Number of replacements after which the time between two of them stops growing.
    std::uint32_t maxReconnectBackoffSteps = 9;
    /// How long a primary may take to answer on a new control connection after the old one was lost.
    duration reconnectTimeout = std::chrono::milliseconds(60);
    /// Time after which a primary whose barrier is not confirmed is replaced, if the other databases are a quorum
    /// without it.
    duration barrierTimeout = std::chrono::milliseconds(1500);
    /// Gap between two clock ticks from which on this process is assumed to have been paused.
    duration processPauseThreshold = std::chrono::milliseconds(100);
    /// How long an owner tolerates too few responsive databases before it asks a deputy to take over.
    duration isolationTimeout = std::chrono::milliseconds(300);
    /// Maximum number of doublings of `isolationTimeout` over repeated handovers.
    std::uint32_t maxHandoverBackoffDoublings = 6;
    /// A new range is requested when fewer terms than this are left in the current one.
    std::uint64_t minRemainingTerms = 4;
    /// How long a deputy waits for the platform before it takes over with its own range.
    duration platformReplyTimeout = std::chrono::milliseconds(400);
    /// Interval between reads of the record by a candidate that holds no range.
    duration recordPollInterval = std::chrono::seconds(2);
    /// How long all holders must be missing from the list of instances before another instance claims the group.
    duration missingHoldersTimeout = std::chrono::milliseconds(1500);
    /// Interval between attempts of an owner to replace missing deputies or to renew its range.
    duration deputyRefreshInterval = std::chrono::seconds(1);
    /// How long to wait for further databases once a quorum has answered the fence.
    duration fenceGracePeriod = std::chrono::milliseconds(20);
    /// Interval after which an unanswered order is repeated.
    duration orderRetryInterval = std::chrono::milliseconds(150);
    /// Time after which an unanswered promotion is retried in a higher term.
    duration promotionTimeout = std::chrono::milliseconds(400);
    /// Number of replicas that must confirm a write before it is acknowledged.
    std::uint32_t confirmReplicas = 1;
};

} // namespace mustardrouter
