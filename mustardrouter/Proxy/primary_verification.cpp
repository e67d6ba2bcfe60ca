#include "mustardrouter/Proxy/primary_verification.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// When the store last showed that nobody has ordered the promotion of `candidate` since `primary` became primary of `term`.
time_point claimEvidenceFor(const primary_verification &verification,
                            const database_name &candidate,
                            time_point notPrimaryAt,
                            const database_name &primary,
                            term_number term)
{
    const promotion_claim &claim = verification.claim;
    if (notPrimaryAt < verification.claimsCompleteFrom) {
        return time_point{};
    }
    if (!claim.exists()) {
        return verification.claimRequestedAt;
    }
    const bool named = mayPromote(claim, candidate);
    // The claim that led to the primary's own term was written in the term before.
    const bool isOfThisTerm = claim.successor == primary ? claim.term < term : claim.term <= term;
    return named || !isOfThisTerm ? time_point{} : verification.claimRequestedAt;
}

term_number termOf(const std::map<database_name, database_state> &databases, const database_name &name)
{
    const auto found = databases.find(name);
    const bool known = found != databases.end() && found->second.status && found->second.status->primary;
    return known ? found->second.status->term : term_number{};
}

} // namespace

bool needsClaimEvidence(const database_state &database)
{
    return database.suspectedSince != time_point{} || database.unlistedSince != time_point{};
}

time_point onlyPrimaryUntil(const verification_view &view, const database_name &database)
{
    const term_number term = termOf(*view.databases, database);
    std::optional<time_point> earliest;
    for (const auto &[name, other] : *view.databases) {
        if (name == database) {
            continue;
        }
        const time_point fromStore =
            needsClaimEvidence(other) ? claimEvidenceFor(*view.verification, name, other.notPrimaryAt, database, term) : time_point{};
        const time_point evidence = std::max(other.notPrimaryAt, fromStore);
        earliest = earliest ? std::min(*earliest, evidence) : evidence;
    }
    if (earliest) {
        return *earliest;
    }
    // No other database is known, but the platform's list may be incomplete.
    const promotion_claim &claim = view.verification->claim;
    if (view.verification->claimRequestedAt < view.verification->claimsCompleteFrom) {
        return time_point{};
    }
    const bool isOwn = !claim.exists() || (claim.successor == database && claim.term < term);
    return isOwn ? view.verification->claimRequestedAt : time_point{};
}

} // namespace mustardrouter
