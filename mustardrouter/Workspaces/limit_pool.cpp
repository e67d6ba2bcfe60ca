#include "mustardrouter/Workspaces/limit_pool.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// A pool that holds less than half of the shares hands out tokens only after this time: the others may follow.
constexpr duration waitForHalf = std::chrono::seconds(2);
/// Interval of polls while less than half of the shares are held.
constexpr duration collectInterval = std::chrono::milliseconds(150);
/// Rounding of sums of fractions of a token.
constexpr double tokenRounding = 1e-6;

double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double capacityOf(const limit_pool_slot &slot, const limit_bucket &bucket, const limit_settings &settings)
{
    const bool nothingAllowed = bucket.limit.operationsPerSecond <= 0 && bucket.limit.burst <= 0;
    if (slot.share <= 0 || nothingAllowed) {
        return 0;
    }
    const double capacity = (bucket.limit.burst + extraBurst(settings)) * slot.share;
    return slot.unit ? std::max(capacity, 1.0) : capacity;
}

void accrue(const limit_pool_slot &slot, limit_bucket &bucket, const limit_settings &settings, time_point now)
{
    if (now > bucket.at) {
        bucket.tokens += bucket.limit.operationsPerSecond * slot.share * toSeconds(now - bucket.at);
        bucket.at = now;
    }
    bucket.tokens = std::min(bucket.tokens, capacityOf(slot, bucket, settings));
}

void accrueAll(limit_pool_slot &slot, const limit_settings &settings, time_point now)
{
    for (auto &[name, bucket] : slot.buckets) {
        accrue(slot, bucket, settings, now);
    }
}

/// Computes the sum of the shares anew; all buckets must have been filled up to `now` by the old one.
void updateShare(limit_pool_slot &slot, const limit_settings &settings, time_point now)
{
    const double before = slot.share;
    slot.share = 0;
    slot.unit = false;
    for (const auto &[name, loan] : slot.loans) {
        slot.share += 1.0 / loan.members;
        slot.unit = slot.unit || loan.unit;
    }
    slot.share = std::min(slot.share, 1.0);
    if (before >= 0.5 && slot.share < 0.5) {
        slot.lowSince = now;
    }
    accrueAll(slot, settings, now);
}

/// The shares that have been held for so long that no other pool's grants for them are in the same window.
double seasonedShare(const limit_pool_slot &slot, const limit_settings &settings, time_point now)
{
    double sum = 0;
    for (const auto &[name, loan] : slot.loans) {
        sum += now - loan.since >= settings.window ? 1.0 / loan.members : 0.0;
    }
    return std::min(sum, 1.0);
}

void addTokens(limit_pool_slot &slot, const limit_settings &settings, const limit_loan &loan)
{
    for (auto &[name, bucket] : slot.buckets) {
        const double whole = loan.tokens == loan_tokens::burst ? bucket.limit.burst + extraBurst(settings) : movingTokens(settings);
        bucket.tokens = std::min(bucket.tokens + whole / loan.members, capacityOf(slot, bucket, settings));
    }
}

/// Removes up to `count` spare tokens, those that lapse first, and returns how many there were.
std::size_t endSpare(std::vector<time_point> &spare, std::uint32_t count)
{
    const std::size_t ended = std::min<std::size_t>(spare.size(), count);
    spare.erase(spare.begin(), spare.begin() + static_cast<std::ptrdiff_t>(ended));
    return ended;
}

limit_grant decide(limit_pool_slot &slot, limit_bucket &bucket, const limit_settings &settings, const limit_ask &ask, time_point now)
{
    accrue(slot, bucket, settings, now);
    limit_grant grant;
    grant.workspace = ask.workspace;
    const auto whole = [&] {
        return static_cast<std::uint32_t>(std::min(std::floor(bucket.tokens + tokenRounding), 1e6));
    };
    grant.tokens = std::min(ask.needed, whole());
    bucket.tokens -= grant.tokens;
    if (grant.tokens < ask.needed) {
        const double perSecond = bucket.limit.operationsPerSecond * slot.share;
        const double seconds = perSecond > 0 ? (1 - bucket.tokens) / perSecond : toSeconds(settings.window);
        grant.retryAfter = std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, 60.0))) + duration(1);
        return grant;
    }
    // What is only expected is served from the upper half, so that it does not keep tokens from statements that wait elsewhere.
    const double kept = capacityOf(slot, bucket, settings) / 2;
    const double plenty = std::max(0.0, std::floor(bucket.tokens - kept + tokenRounding));
    const auto ahead = static_cast<std::uint32_t>(std::min<double>(ask.ahead, plenty));
    grant.tokens += ahead;
    bucket.tokens -= ahead;
    const double spareAllowed = spareTokens(settings) * seasonedShare(slot, settings, now);
    while (grant.spare < ask.spare && bucket.tokens - kept >= 1 && static_cast<double>(bucket.spareUntil.size()) + 1 <= spareAllowed) {
        grant.spare += 1;
        bucket.tokens -= 1;
        bucket.spareUntil.push_back(now + settings.spareTime + settings.loanMargin);
    }
    return grant;
}

} // namespace

std::uint32_t slotOf(const limit_settings &settings, const workspace_name &workspace)
{
    return static_cast<std::uint32_t>(XXH3_64bits(workspace.value().data(), workspace.value().size()) % settings.slots);
}

void onPoolLimits(limit_pool &pool, const limit_settings &settings, const std::map<workspace_name, workspace_limit> &limits, time_point now)
{
    pool.slots.resize(settings.slots);
    for (limit_pool_slot &slot : pool.slots) {
        advancePool(slot, settings, now);
        accrueAll(slot, settings, now);
        std::erase_if(slot.buckets, [&](const auto &entry) {
            return entry.second.removedAt && now - *entry.second.removedAt > 2 * settings.window;
        });
        for (auto &[name, bucket] : slot.buckets) {
            if (!limits.contains(name) && !bucket.removedAt) {
                bucket.removedAt = now;
            }
        }
    }
    for (const auto &[name, limit] : limits) {
        limit_pool_slot &slot = pool.slots[slotOf(settings, name)];
        const auto [entry, added] = slot.buckets.try_emplace(name);
        limit_bucket &bucket = entry->second;
        bucket.limit = limit;
        bucket.removedAt.reset();
        if (added) {
            bucket.at = now;
            bucket.tokens = (limit.burst + extraBurst(settings)) * seasonedShare(slot, settings, now);
        }
        accrue(slot, bucket, settings, now);
    }
}

void advancePool(limit_pool_slot &slot, const limit_settings &settings, time_point now)
{
    while (!slot.loans.empty()) {
        const auto first = std::ranges::min_element(slot.loans, {}, [](const auto &entry) {
            return entry.second.until;
        });
        if (first->second.until > now) {
            break;
        }
        const time_point ended = first->second.until;
        accrueAll(slot, settings, ended);
        slot.loans.erase(first);
        updateShare(slot, settings, ended);
    }
}

std::uint32_t onLoans(
    limit_pool &pool, const limit_settings &settings, const instance_name &from, const limit_loans &answer, time_point now)
{
    std::uint32_t toReturn = 0;
    pool.slots.resize(settings.slots);
    for (const limit_loan &lent : answer.loans) {
        if (lent.slot >= pool.slots.size() || answer.stamp < pool.startedAt) {
            continue;
        }
        limit_pool_slot &slot = pool.slots[lent.slot];
        advancePool(slot, settings, now);
        const auto held = slot.loans.find(from);
        const auto returned = slot.returnedUpTo.find(from);
        if (returned != slot.returnedUpTo.end() && answer.stamp <= returned->second) {
            continue;
        }
        if (lent.members == 0) {
            if (held == slot.loans.end()) {
                continue;
            }
            // The member wants to lend its share to another pool, or owns none any more.
            accrueAll(slot, settings, now);
            slot.loans.erase(held);
            updateShare(slot, settings, now);
            slot.returnedUpTo[from] = slot.polledAt;
            toReturn |= 1U << lent.slot;
            continue;
        }
        const time_point until = answer.stamp + settings.loanTime;
        if (until <= now || !slot.active) {
            continue;
        }
        if (held != slot.loans.end() && held->second.members == lent.members) {
            held->second.until = std::max(held->second.until, until);
            continue;
        }
        accrueAll(slot, settings, now);
        const time_point since = held != slot.loans.end() ? held->second.since : now;
        slot.loans[from] = {until, lent.members, lent.unit, since};
        updateShare(slot, settings, now);
        if (lent.tokens != loan_tokens::none) {
            addTokens(slot, settings, lent);
        }
    }
    return toReturn;
}

limit_grants onRequest(limit_pool &pool, const limit_settings &settings, const limit_request &request, time_point now)
{
    pool.slots.resize(settings.slots);
    limit_grants reply;
    reply.stamp = request.stamp;
    reply.tenure = pool.tenure;
    for (const limit_ask &ask : request.asks) {
        limit_pool_slot &slot = pool.slots[slotOf(settings, ask.workspace)];
        advancePool(slot, settings, now);
        limit_grant grant;
        grant.workspace = ask.workspace;
        const auto found = slot.buckets.find(ask.workspace);
        if (!slot.active || !isReady(slot, now)) {
            grant.status = grant_status::noPool;
        } else if (found == slot.buckets.end() || found->second.removedAt) {
            grant.status = grant_status::unknownWorkspace;
        } else {
            std::vector<time_point> &spare = found->second.spareUntil;
            std::erase_if(spare, [&](time_point until) {
                return until <= now;
            });
            if (ask.tenure == pool.tenure) {
                endSpare(spare, ask.spareUsed);
                found->second.tokens += static_cast<double>(endSpare(spare, ask.spareReturned));
            }
            grant = decide(slot, found->second, settings, ask, now);
        }
        reply.grants.push_back(std::move(grant));
    }
    return reply;
}

bool isReady(const limit_pool_slot &slot, time_point now)
{
    return slot.share > 0 && (slot.share >= 0.5 || now - slot.lowSince >= waitForHalf);
}

time_point nextPoll(const limit_pool_slot &slot, const limit_settings &settings, std::size_t members)
{
    const bool collecting = 2 * slot.loans.size() < members;
    return slot.polledAt + (collecting ? collectInterval : settings.pollInterval);
}

} // namespace mustardrouter
