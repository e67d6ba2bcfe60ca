#include "mustardrouter/Proxy/connection_budget.h"

namespace mustardrouter
{

namespace
{

/// Connections that a statement may add at a database which is full: transactions hold theirs while they rest.
constexpr std::uint32_t maxConnectionsWhenOverloaded = 2;

/// Idle timeout at a database that is full.
constexpr duration idleTimeoutWhenOverloaded = std::chrono::seconds(3);

struct idle_timeout_step {
    /// Up to this share of the database's connections taken.
    double maxShareInUse;
    duration timeout;
};

/// The closer to the limit, the shorter; a connection costs 10 to 30 ms of a slot to open again. A part stays
/// free: connections of instances that lose power all at once still count for 3 s, and those that are back need some.
constexpr idle_timeout_step idleTimeoutSteps[] = {{0.45, std::chrono::seconds(20)},
                                                  {0.6, std::chrono::seconds(3)},
                                                  {0.75, std::chrono::milliseconds(1000)},
                                                  {2.0, std::chrono::milliseconds(400)}};

} // namespace

bool mayOpenConnection(const connection_budget &budget)
{
    if (budget.connections == 0) {
        return true;
    }
    if (budget.opening > 0 || budget.connections >= budget.maxConnections) {
        return false;
    }
    return !budget.recentlyOverloaded || budget.connections < maxConnectionsWhenOverloaded;
}

duration idleTimeoutOf(const connection_budget &budget)
{
    if (budget.recentlyOverloaded) {
        // Opening it again would cost a slot of a database that has none to spare.
        return idleTimeoutWhenOverloaded;
    }
    const double share = budget.limit == 0 ? 1.0 : static_cast<double>(budget.connectionsInUse) / static_cast<double>(budget.limit);
    for (const idle_timeout_step &step : idleTimeoutSteps) {
        if (share <= step.maxShareInUse) {
            return step.timeout;
        }
    }
    return idleTimeoutSteps[3].timeout;
}

} // namespace mustardrouter
