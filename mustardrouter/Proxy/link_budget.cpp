#include "mustardrouter/Proxy/link_budget.h"

namespace mustardrouter
{

namespace
{

/// Connections that a statement may add at a database which is full: transactions hold theirs while they rest.
constexpr std::uint32_t linksWhenSaturated = 2;

struct idle_step {
    /// Up to this share of the database's connections taken.
    double share;
    duration timeout;
};

/// The closer to the limit, the shorter; a connection costs 10 to 30 ms of a slot to open again.
constexpr idle_step idleSteps[] = {{0.5, std::chrono::seconds(20)},
                                   {0.7, std::chrono::seconds(3)},
                                   {0.85, std::chrono::milliseconds(1000)},
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
    return !budget.saturated || budget.links < linksWhenSaturated;
}

duration idleTimeoutOf(const link_budget &budget)
{
    const double share = budget.limit == 0 ? 1.0 : static_cast<double>(budget.taken) / static_cast<double>(budget.limit);
    for (const idle_step &step : idleSteps) {
        if (share <= step.share) {
            return step.timeout;
        }
    }
    return idleSteps[3].timeout;
}

} // namespace mustardrouter
