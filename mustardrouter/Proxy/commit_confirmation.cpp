#include "mustardrouter/Proxy/commit_confirmation.h"

#include <algorithm>
#include <cstdint>

namespace mustardrouter
{

namespace
{

/// Whether the promotion of the database, should it be carried out, keeps the entry.
bool keepsEntry(const commit_view &view, const database_name &primary, const database_name &named, const log_entry &entry)
{
    if (named == primary) {
        return true;
    }
    const auto found = view.databases->find(named);
    return found != view.databases->end() && hasEntry(found->second, entry);
}

/// Whether the store's claim, as read after the reply, leaves no promotion open that would lose the entry.
bool isKeptUnderClaim(const commit_view &view, const database_name &primary, const log_entry &entry, time_point repliedAt)
{
    const primary_verification &verification = *view.verification;
    if (verification.claimRequestedAt < std::max(repliedAt, verification.claimsCompleteFrom)) {
        return false;
    }
    const promotion_claim &claim = verification.claim;
    if (!claim.exists()) {
        return true;
    }
    const bool writerKnewNewerTerm = claim.term > entry.term;
    return !writerKnewNewerTerm && keepsEntry(view, primary, claim.successor, entry)
           && std::ranges::all_of(claim.unsettledSuccessors, [&](const database_name &named) {
                  return keepsEntry(view, primary, named, entry);
              });
}

std::uint32_t countHolders(const commit_view &view, const database_name &primary, const log_entry &entry)
{
    const auto holds = std::ranges::count_if(*view.databases, [&](const auto &database) {
        return database.first != primary && hasEntry(database.second, entry);
    });
    return static_cast<std::uint32_t>(holds);
}

} // namespace

bool hasEntry(const database_state &database, const log_entry &entry)
{
    // An end of a newer term does not show which part of the older term was kept.
    return database.logEnd && database.logEnd->term == entry.term && database.logEnd->position >= entry.position;
}

bool isMissingSomewhere(const commit_view &view, const database_name &primary, const log_entry &entry)
{
    return std::ranges::any_of(*view.databases, [&](const auto &database) {
        return database.first != primary && !hasEntry(database.second, entry);
    });
}

bool isBeforeUnlistedPrimary(const commit_view &view, const database_name &primary, const log_entry &entry, time_point repliedAt)
{
    if (countHolders(view, primary, entry) > 0) {
        return true;
    }
    const primary_verification &verification = *view.verification;
    if (verification.claimRequestedAt < std::max(repliedAt, verification.claimsCompleteFrom)) {
        return false;
    }
    const promotion_claim &claim = verification.claim;
    if (!claim.exists()) {
        return true;
    }
    const auto isListed = [&](const database_name &named) {
        return view.databases->contains(named);
    };
    return claim.term <= entry.term && isListed(claim.successor) && std::ranges::all_of(claim.unsettledSuccessors, isListed);
}

bool isCommitKept(const commit_view &view, const database_name &primary, const log_entry &entry, time_point repliedAt)
{
    if (countHolders(view, primary, entry) < view.syncReplicas) {
        return false;
    }
    const bool isEverywhere = !view.primaryMayChange && !isMissingSomewhere(view, primary, entry);
    return isEverywhere || isKeptUnderClaim(view, primary, entry, repliedAt);
}

} // namespace mustardrouter
