#include "mustardrouter/Admission/waiting_time.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Part of the time to the deadline that an expected wait may take; the rest covers what is not
/// foreseen, so that few statements start and still end too late.
constexpr double usableShareOfTimeLeft = 0.7;
constexpr duration minRetryAfter = std::chrono::milliseconds(50);

} // namespace

duration expectedCompletion(const server_capacity &speed, std::size_t ahead)
{
    const std::size_t slots = std::max<std::size_t>(speed.slots, 1);
    const std::size_t before = ahead + speed.running;
    const double rounds = before < slots ? 0 : static_cast<double>(before - slots + 1) / static_cast<double>(slots);
    return duration(static_cast<duration::rep>((rounds + 1) * speed.serviceMicros));
}

std::optional<duration> retryAfterIfLate(const server_capacity &speed, std::size_t ahead, duration measuredWait, duration patience)
{
    if (ahead == 0) {
        return std::nullopt;
    }
    const duration service(static_cast<duration::rep>(speed.serviceMicros));
    const duration expected = std::max(expectedCompletion(speed, ahead), measuredWait + service);
    const duration usable(static_cast<duration::rep>(usableShareOfTimeLeft * static_cast<double>(patience.count())));
    if (expected <= usable) {
        return std::nullopt;
    }
    return std::max(expected - usable, minRetryAfter);
}

} // namespace mustardrouter
