#pragma once

#include "mustardrouter/Workspaces/limit_message.h"
#include "mustardrouter/Workspaces/limit_settings.h"
#include "mustardrouter/Workspaces/workspace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardrouter
{

/// A member's share that was lent to this pool.
struct held_loan {
    /// On this instance's clock.
    time_point until{};
    std::uint32_t members = 1;
    bool unit = false;
    /// Since when the share has been held without a gap.
    time_point since{};
};

/// The tokens of one workspace.
struct limit_bucket {
    workspace_limit limit;
    double tokens = 0;
    /// Up to when tokens were added.
    time_point at{};
    /// When the spare tokens lapse that instances may still hold, in ascending order.
    std::vector<time_point> spareUntil;
    /// When the configuration dropped the limit: its return within a window must not refill the bucket.
    std::optional<time_point> removedAt;
};

/// What this instance is as the pool of one slot.
struct limit_pool_slot {
    /// It collects shares.
    bool active = false;
    /// When it was last asked for tokens.
    time_point askedAt{};
    time_point polledAt{};
    /// Since when it has held less than half of all shares.
    time_point lowSince{};
    std::map<instance_name, held_loan> loans;
    /// Loans in reply to polls up to this stamp were returned.
    std::map<instance_name, time_point> returnedUpTo;
    /// Sum of the shares held, at most 1.
    double share = 0;
    /// One of the loans may collect a whole token alone.
    bool unit = false;
    std::map<workspace_name, limit_bucket> buckets;
};

/// Collects the shares of members and hands out what they add up to.
struct limit_pool {
    /// Number of the run of this process.
    std::uint64_t tenure = 0;
    /// Answers to earlier polls are those of a predecessor, which may have returned the loans.
    time_point startedAt{};
    std::vector<limit_pool_slot> slots;
};

/// The slot of a workspace, the same on all instances.
std::uint32_t slotOf(const limit_settings &settings, const workspace_name &workspace);

/// A version of the configuration was read.
void onPoolLimits(limit_pool &pool,
                  const limit_settings &settings,
                  const std::map<workspace_name, workspace_limit> &limits,
                  time_point now);
/// Removes loans that have run out.
void advancePool(limit_pool_slot &slot, const limit_settings &settings, time_point now);
/// A member replied to a poll. Returns the slots of which loans are to be returned to it.
std::uint32_t onLoans(
    limit_pool &pool, const limit_settings &settings, const instance_name &from, const limit_loans &answer, time_point now);
/// An instance asks for tokens. Workspaces of slots that are not active are not decided.
limit_grants onRequest(limit_pool &pool, const limit_settings &settings, const limit_request &request, time_point now);
/// Whether the slot has what it can be expected to get.
bool isReady(const limit_pool_slot &slot, time_point now);
/// When the slot is to be polled next.
time_point nextPoll(const limit_pool_slot &slot, const limit_settings &settings, std::size_t members);

} // namespace mustardrouter
