#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Intervals that decide how soon silence counts as failure.
struct ownership_settings {
    /// Between two heartbeats of an owner to a deputy.
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Silence after which the first deputy takes over; each further one waits once more as long.
    duration ownerHeartbeatTimeout = std::chrono::milliseconds(600);
    /// Silence of a primary after which it is asked for a report; of any database while the group is not served.
    duration probeInterval = std::chrono::milliseconds(40);
    /// Between two rounds of reports from all databases of a served group. Replicas also report changes by themselves.
    duration reportInterval = std::chrono::milliseconds(150);
    /// Silence after which a primary is replaced.
    duration primaryReportTimeout = std::chrono::milliseconds(300);
    /// Silence after which a database's control connection is replaced.
    duration controlConnectionTimeout = std::chrono::milliseconds(150);
    /// Replacements after which the time between two of them grows no longer.
    std::uint32_t maxReconnectBackoffSteps = 9;
    /// Longest wait for a primary's answer on a new connection after one broke.
    duration reconnectTimeout = std::chrono::milliseconds(60);
    /// After which a primary is replaced whose barrier is not confirmed while others could do without it.
    duration barrierTimeout = std::chrono::milliseconds(1500);
    /// Gap between two clock events that means that this process was paused.
    duration processPauseThreshold = std::chrono::milliseconds(100);
    /// For which an owner may hear too few databases before it asks a deputy to try.
    duration isolationTimeout = std::chrono::milliseconds(300);
    /// Doublings of that time over repeated hand-overs.
    std::uint32_t maxHandoverBackoffDoublings = 6;
    /// Terms left in a range at which a new one is asked for.
    std::uint64_t minRemainingTerms = 4;
    /// Longest wait for the platform before a deputy uses its own range.
    duration platformReplyTimeout = std::chrono::milliseconds(400);
    /// Between two reads of the record by an instance that holds no range.
    duration recordPollInterval = std::chrono::seconds(2);
    /// Time for which all holders must be missing from the list of instances before another claims.
    duration missingHoldersTimeout = std::chrono::milliseconds(1500);
    /// Between two attempts of an owner to replace deputies that have gone.
    duration deputyRefreshInterval = std::chrono::seconds(1);
    /// Wait for further databases once enough of them have answered a fence.
    duration fenceGracePeriod = std::chrono::milliseconds(20);
    /// After which an order that was not answered is repeated.
    duration orderRetryInterval = std::chrono::milliseconds(150);
    /// After which a promotion that was not answered is tried in a higher term.
    duration promotionTimeout = std::chrono::milliseconds(400);
    /// Replicas that confirm a write before it is acknowledged.
    std::uint32_t confirmReplicas = 1;
};

} // namespace mustardrouter
