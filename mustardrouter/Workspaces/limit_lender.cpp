#include "mustardrouter/Workspaces/limit_lender.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// A preferred pool that has not asked for this long does not keep others from the share.
constexpr duration preferredFor = std::chrono::milliseconds(1000);

bool isLent(const lent_share &share, time_point now)
{
    return now < share.until;
}

/// Whether tokens may come with the share: not twice in a window, except that a restarted process does not know of its predecessor's.
loan_tokens tokensOf(lent_share &share, const limit_lender &lender, const limit_settings &settings, time_point now)
{
    if (lender.nothingSpentBefore && !share.tokensAt) {
        share.tokensAt = now;
        return loan_tokens::burst;
    }
    if (share.tokensAt && now - *share.tokensAt < settings.window + settings.loanTime) {
        return loan_tokens::none;
    }
    share.tokensAt = now;
    return loan_tokens::moving;
}

limit_loan lend(lent_share &share,
                const limit_lender &lender,
                const limit_ownership &ownership,
                const limit_settings &settings,
                const std::vector<instance_name> &candidates,
                const instance_name &from,
                const limit_poll &poll,
                time_point now)
{
    limit_loan loan;
    if (ownership.owned == 0) {
        return loan;
    }
    const std::size_t rank = rankOf(candidates, from);
    if (isLent(share, now) && share.borrower != from) {
        if (rank < rankOf(candidates, share.borrower)) {
            share.preferred = from;
            share.preferredAt = now;
        }
        return loan;
    }
    const bool otherPreferred = share.preferred != instance_name{} && share.preferred != from && now - share.preferredAt < preferredFor
                                && rankOf(candidates, share.preferred) < rank;
    if (otherPreferred) {
        return loan;
    }
    loan.members = ownership.owned;
    loan.unit = ownership.rank < unitMembers(settings);
    loan.tokens = isLent(share, now) ? loan_tokens::none : tokensOf(share, lender, settings, now);
    // Stamps of different pools can't be compared.
    share.stamp = share.borrower == from ? std::max(share.stamp, poll.stamp) : poll.stamp;
    share.borrower = from;
    share.until = now + settings.loanTime + settings.loanMargin;
    return loan;
}

} // namespace

std::size_t rankOf(const std::vector<instance_name> &candidates, const instance_name &name)
{
    return static_cast<std::size_t>(std::ranges::find(candidates, name) - candidates.begin());
}

limit_loans onPoll(limit_lender &lender,
                   const limit_ownership &ownership,
                   const limit_settings &settings,
                   const std::vector<std::vector<instance_name>> &candidates,
                   const instance_name &from,
                   const limit_poll &poll,
                   time_point now)
{
    lender.slots.resize(settings.slots);
    limit_loans answer;
    answer.stamp = poll.stamp;
    for (std::uint32_t slot = 0; slot < settings.slots; ++slot) {
        if ((poll.slots & (1U << slot)) == 0) {
            continue;
        }
        limit_loan loan = lend(lender.slots[slot], lender, ownership, settings, candidates[slot], from, poll, now);
        loan.slot = slot;
        answer.loans.push_back(loan);
    }
    return answer;
}

void onReturn(limit_lender &lender, const instance_name &from, const limit_return &returned, time_point now)
{
    for (std::uint32_t slot = 0; slot < lender.slots.size(); ++slot) {
        lent_share &share = lender.slots[slot];
        if ((returned.slots & (1U << slot)) != 0 && share.borrower == from && share.stamp <= returned.stamp) {
            share.until = std::min(share.until, now);
        }
    }
}

} // namespace mustardrouter
