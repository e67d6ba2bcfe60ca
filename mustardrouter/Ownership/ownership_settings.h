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
    duration ownerSuspicion = std::chrono::milliseconds(600);
    /// Between two reports that an owner asks of each database.
    duration probeInterval = std::chrono::milliseconds(40);
    /// Silence after which a primary is replaced.
    duration primarySuspicion = std::chrono::milliseconds(300);
    /// Longest wait for the platform before a deputy uses its own range.
    duration platformPatience = std::chrono::milliseconds(400);
    /// Between two reads of the record by an instance that holds no range.
    duration recordPollInterval = std::chrono::seconds(2);
    /// Time for which all holders must be missing from the list of instances before another claims.
    duration holdersGonePatience = std::chrono::milliseconds(1500);
    /// Between two attempts of an owner to replace deputies that have gone.
    duration deputyRefreshInterval = std::chrono::seconds(1);
    /// Wait for further databases once enough of them have answered a fence.
    duration fenceGrace = std::chrono::milliseconds(20);
    /// After which an order that was not answered is repeated.
    duration orderRetry = std::chrono::milliseconds(150);
    /// After which a promotion that was not answered is tried in a higher term.
    duration promotionPatience = std::chrono::milliseconds(400);
    /// Replicas that confirm a write before it is acknowledged.
    std::uint32_t confirmReplicas = 1;
};

} // namespace mustardrouter
