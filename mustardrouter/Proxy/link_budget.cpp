#include "mustardrouter/Proxy/link_budget.h"

namespace mustardrouter
{

namespace
{

/// Connections that an instance takes of a database which is full or crowded: transactions hold theirs while they rest.
constexpr std::uint32_t linksWhenSaturated = 2;
/// A database is crowded when this part of its connections is taken, in tenths; the rest is for instances without any.
constexpr std::uint64_t crowdedTenths = 7;
/// From this part on, in hundredths, instances with more than two give back.
constexpr std::uint64_t shedHundredths = 95;

/// Idle timeout at a database that is full.
constexpr duration timeoutWhenSaturated = std::chrono::seconds(3);

struct idle_step {
    /// Up to this share of the database's connections taken.
    double share;
    duration timeout;
};

/// The closer to the limit, the shorter; a connection costs 10 to 30 ms of a slot to open again. A part stays
/// free: connections of instances that lose power all at once still count for 3 s, and those that are back need some.
constexpr idle_step idleSteps[] = {{0.45, std::chrono::seconds(20)},
                                   {0.6, std::chrono::seconds(3)},
                                   {0.75, std::chrono::milliseconds(1000)},
                                   {2.0, std::chrono::milliseconds(400)}};

} // namespace

bool mayOpenLink(const link_budget &budget)
{
    if (budget.links == 0) {
        return true;
    }
    if (budget.opening > 0 || budget.links >= budget.most) {
        return false;
    }
    const bool crowded = std::uint64_t(budget.taken) * 10 >= budget.limit * crowdedTenths;
    return (!budget.saturated && !crowded) || budget.links < linksWhenSaturated;
}

bool mustGiveBack(const link_budget &budget)
{
    constexpr std::uint64_t whole = 100;
    return budget.links > linksWhenSaturated && std::uint64_t(budget.taken) * whole >= budget.limit * shedHundredths;
}

duration idleTimeoutOf(const link_budget &budget)
{
    if (budget.saturated) {
        // Opening it again would cost a slot of a database that has none to spare.
        return timeoutWhenSaturated;
    }
    const double share = budget.limit == 0 ? 1.0 : static_cast<double>(budget.taken) / static_cast<double>(budget.limit);
    for (const idle_step &step : idleSteps) {
        if (share <= step.share) {
            return step.timeout;
        }
    }
    return idleSteps[3].timeout;
}

} // namespace mustardrouter
