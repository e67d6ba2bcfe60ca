#include "mustardrouter/Edge/watch_timing.h"

#include "mustardrouter/Membership/feed_settings.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

/// Allowance for a slow store's answer: 100 times its usual 4 ms, and a round trip to another region.
constexpr duration responseMargin = 500ms;
/// Connecting again after a timeout, and the answer to the repeated request.
constexpr duration repetitionMargin = 500ms;
constexpr duration minHeld = 500ms;
constexpr duration maxHeld = 30s;
constexpr duration probeTimeout = 1000ms;

} // namespace

watch_timing watchTimingFor(duration stableWindow)
{
    const duration held = std::clamp<duration>(stableWindow - responseMargin - repetitionMargin, minHeld, maxHeld);
    return {held, held + responseMargin};
}

watch_timing databaseWatchTimingFor(duration stableWindow, duration drainTime)
{
    const duration limit = drainTime - leavingMargin - replacementTime - responseMargin - repetitionMargin;
    const duration held = std::clamp<duration>(std::min(watchTimingFor(stableWindow).held, limit), minHeld, maxHeld);
    return {held, held + responseMargin};
}

watch_timing probeTiming()
{
    return {1ms, probeTimeout};
}

} // namespace mustardrouter
