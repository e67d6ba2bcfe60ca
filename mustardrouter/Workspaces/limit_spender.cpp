#include "mustardrouter/Workspaces/limit_spender.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// Time constant of the moving average of the demand.
constexpr double demandSeconds = 4.0;
/// Demand of this time is requested ahead of use.
constexpr double aheadSeconds = 0.1;
/// A spare token is kept where these many uses within its time are expected.
constexpr double spareUses = 2.0;
/// Spare tokens are given up this long before they lapse.
constexpr duration givenUpBefore = std::chrono::milliseconds(600);
/// A statement that has not asked again for this long does not wait any more.
constexpr duration waitingFor = std::chrono::seconds(2);

double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::uint32_t wantedAhead(const limit_use &use, time_point now)
{
    return static_cast<std::uint32_t>(std::min(std::floor(expectedDemand(use, now) * aheadSeconds), 1000.0));
}

/// Reports to another pool than the one of the tenure are dropped.
void reportSpareOf(limit_use &use, std::uint64_t tenure)
{
    if (use.spareTenure != tenure) {
        use.spareTenure = tenure;
        use.spareUsed = 0;
        use.spareReturned = 0;
    }
}

} // namespace

void dropLapsed(limit_use &use, time_point now)
{
    std::erase_if(use.tokens, [&](const held_tokens &tokens) {
        return tokens.until <= now || tokens.count == 0;
    });
}

bool takeToken(limit_use &use, time_point now)
{
    dropLapsed(use, now);
    const auto first = std::ranges::min_element(use.tokens, {}, &held_tokens::until);
    if (first == use.tokens.end()) {
        return false;
    }
    first->count -= 1;
    if (first->spare) {
        reportSpareOf(use, first->tenure);
        use.spareUsed += 1;
    }
    return true;
}

bool giveUpSpare(limit_use &use, time_point now)
{
    bool any = false;
    for (held_tokens &tokens : use.tokens) {
        if (!tokens.spare || tokens.count == 0 || now < givenUpAt(tokens.until)) {
            continue;
        }
        reportSpareOf(use, tokens.tenure);
        use.spareReturned += tokens.count;
        tokens.count = 0;
        any = true;
    }
    dropLapsed(use, now);
    return any;
}

time_point givenUpAt(time_point until)
{
    return until - givenUpBefore;
}

std::uint32_t quickTokens(const limit_use &use)
{
    std::uint32_t sum = 0;
    for (const held_tokens &tokens : use.tokens) {
        sum += tokens.spare ? 0 : tokens.count;
    }
    return sum;
}

std::uint32_t spareAtHand(const limit_use &use)
{
    std::uint32_t sum = 0;
    for (const held_tokens &tokens : use.tokens) {
        sum += tokens.spare ? tokens.count : 0;
    }
    return sum;
}

void recordDemand(limit_use &use, time_point now)
{
    use.demand = expectedDemand(use, now) + 1 / demandSeconds;
    use.demandAt = now;
}

double expectedDemand(const limit_use &use, time_point now)
{
    return use.demand * std::exp(-toSeconds(now - use.demandAt) / demandSeconds);
}

limit_ask askFor(limit_use &use, const limit_settings &settings, const workspace_name &workspace, time_point now)
{
    std::erase_if(use.waiting, [&](const auto &entry) {
        return now - entry.second > waitingFor;
    });
    dropLapsed(use, now);
    limit_ask ask;
    ask.workspace = workspace;
    // Those that wait will use what is at hand first.
    const auto waiting = static_cast<std::uint32_t>(use.waiting.size());
    const std::uint32_t quick = quickTokens(use);
    const std::uint32_t atHand = quick + spareAtHand(use);
    ask.needed = waiting > atHand ? waiting - atHand : 0;
    const std::uint32_t left = quick > waiting ? quick - waiting : 0;
    const std::uint32_t ahead = wantedAhead(use, now);
    ask.ahead = ahead > left ? ahead - left : 0;
    const bool keepsSpare = expectedDemand(use, now) * toSeconds(settings.spareTime) >= spareUses;
    ask.spare = keepsSpare && spareAtHand(use) == 0 && ahead == 0 ? 1 : 0;
    ask.spareUsed = use.spareUsed;
    ask.tenure = use.spareTenure;
    ask.spareReturned = use.spareReturned;
    use.spareUsed = 0;
    use.spareReturned = 0;
    return ask;
}

bool wantsAhead(const limit_use &use, const limit_settings &settings, time_point now)
{
    if (use.requested) {
        return false;
    }
    if (use.spareReturned > 0) {
        return true;
    }
    if (now < use.refusedUntil) {
        return false;
    }
    const std::uint32_t ahead = wantedAhead(use, now);
    if (ahead > 0) {
        return 2 * quickTokens(use) < ahead;
    }
    return spareAtHand(use) == 0 && expectedDemand(use, now) * toSeconds(settings.spareTime) >= spareUses;
}

} // namespace mustardrouter
