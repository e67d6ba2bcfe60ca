#pragma once

#include "mustardrouter/Workspaces/workspace_usage.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace mustardrouter
{

/// Counters since the start of the instance.
struct proxy_counters {
    std::uint64_t statements = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    std::uint64_t refusals = 0;
    /// Refusals by reason; reasons are string literals of the program, so their number is bounded.
    std::map<std::string_view, std::uint64_t> refusalsByCause;
    std::uint64_t inDoubt = 0;
    std::uint64_t retries = 0;
    /// Replies to statements that had been given up, and statements without a reply when the instance stopped.
    std::uint64_t lateReplies = 0;
    std::uint64_t unfinishedAtStop = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t primaryChecks = 0;
    std::uint64_t promotionOrders = 0;
    std::uint64_t primaryChanges = 0;
    /// Replies that waited for evidence, the time that they waited in total in microseconds, and those that never got it.
    std::uint64_t repliesHeld = 0;
    std::uint64_t repliesHeldMicros = 0;
    std::uint64_t repliesNotVerified = 0;
    std::uint64_t stepDownsSent = 0;
    /// Transactions that a database did not end when it was told to; their connections were closed.
    std::uint64_t transactionsLeftOpen = 0;
    /// Attempts to replace a primary that ended before an order, as the successor's log was not known to have all commits.
    std::uint64_t promotionsGivenUp = 0;
    /// Returns of the platform's store from an older copy.
    std::uint64_t storeHistoriesLost = 0;
    /// Statements and transactions sent to holders.
    std::uint64_t statementsRelayed = 0;
    /// Of these, those that the holder did not handle as it had closed the channel.
    std::uint64_t relayedNotHandled = 0;
    /// Statements and transactions that a holder did not run, as it leads their route to another group.
    std::uint64_t relayedToOtherRoute = 0;
    /// Messages that other instances relayed to a channel that was not open here; they were not handled.
    std::uint64_t relayedRefused = 0;
    workspace_usage_table workspaces;
    /// Sessions refused because their key is in no workspace, and those whose key was withdrawn later.
    std::uint64_t unknownKeys = 0;
    std::uint64_t keysWithdrawn = 0;
    /// Connections closed to open one for another workspace.
    std::uint64_t connectionsReplaced = 0;
};

} // namespace mustardrouter
