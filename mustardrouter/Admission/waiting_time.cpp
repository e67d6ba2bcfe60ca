#include "mustardrouter/Admission/waiting_time.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Share of the time to the deadline that the expected wait may take. The rest is a margin for errors of the estimate,
/// so that few statements start and still end too late.
constexpr double usableShareOfTimeLeft = 0.7;
constexpr duration minRetryAfter = std::chrono::milliseconds(50);

} // namespace

duration expectedCompletion(const server_capacity &capacity, std::size_t ahead)
{
    const std::size_t slots = std::max<std::size_t>(capacity.slots, 1);
    const std::size_t before = ahead + capacity.running;
    const double rounds = before < slots ? 0 : static_cast<double>(before - slots + 1) / static_cast<double>(slots);
    return duration(static_cast<duration::rep>((rounds + 1) * capacity.serviceMicros));
}

std::optional<duration> retryAfterIfLate(const server_capacity &capacity, std::size_t ahead, duration measuredWait, duration timeLeft)
{
    if (ahead == 0) {
        return std::nullopt;
    }
    const duration service(static_cast<duration::rep>(capacity.serviceMicros));
    const duration expected = std::max(expectedCompletion(capacity, ahead), measuredWait + service);
    const duration usable(static_cast<duration::rep>(usableShareOfTimeLeft * static_cast<double>(timeLeft.count())));
    if (expected <= usable) {
        return std::nullopt;
    }
    return std::max(expected - usable, minRetryAfter);
}

} // namespace mustardrouter
