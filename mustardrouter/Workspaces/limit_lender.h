#pragma once

#include "mustardrouter/Workspaces/limit_message.h"
#include "mustardrouter/Workspaces/limit_ownership.h"
#include "mustardrouter/Workspaces/limit_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// To whom this instance's share of one slot is lent.
struct lent_share {
    instance_name borrower;
    /// On this instance's clock: before, the share is lent to no other pool.
    time_point until{};
    /// Stamp of the last poll that was granted.
    time_point stamp{};
    /// A higher ranked pool that was refused because the share is lent, and when it last asked.
    instance_name preferred;
    time_point preferredAt{};
    /// When tokens last came with the share.
    std::optional<time_point> tokensAt;
};

struct limit_lender {
    /// No earlier process of this instance nor of another can have spent anything before.
    bool nothingSpentBefore = false;
    /// By slot.
    std::vector<lent_share> slots;
};

/// Rank of an instance as a pool of the slot; instances not among the candidates are all last.
std::size_t rankOf(const std::vector<instance_name> &candidates, const instance_name &name);

/// Lends what this instance owns of the polled slots, or renews the loans. `candidates` are the pools of each slot, first the highest
/// ranked.
limit_loans onPoll(limit_lender &lender,
                   const limit_ownership &ownership,
                   const limit_settings &settings,
                   const std::vector<std::vector<instance_name>> &candidates,
                   const instance_name &from,
                   const limit_poll &poll,
                   time_point now);
/// A pool has returned loans.
void onReturn(limit_lender &lender, const instance_name &from, const limit_return &returned, time_point now);

} // namespace mustardrouter
