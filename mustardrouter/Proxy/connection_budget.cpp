#include "mustardrouter/Proxy/connection_budget.h"

namespace mustardrouter
{

namespace
{

/// Limit at an overloaded database; above 1 because idle transactions hold on to their connections.
constexpr std::uint32_t maxConnectionsWhenOverloaded = 2;

/// Idle timeout at an overloaded database.
constexpr duration idleTimeoutWhenOverloaded = std::chrono::seconds(3);

struct idle_timeout_step {
    /// Applies up to this share of the database's connections in use.
    double maxShareInUse;
    duration timeout;
};

/// Up to this share a holder keeps the connections of its workspaces: their number is bounded by the choice of the holders, who use up to
/// three quarters of the limit, and each that is closed would be opened again for the workspace's next statement.
constexpr double placedShare = 0.85;

/// The timeout shrinks towards the limit; reopening a connection costs 10 to 30 ms of a slot. Some connections are
/// kept free because after a power loss of many instances their old connections still count for 3 s, while the
/// restarted instances need new ones.
constexpr idle_timeout_step idleTimeoutSteps[] = {{0.45, std::chrono::seconds(20)},
                                                  {0.6, std::chrono::seconds(3)},
                                                  {0.75, std::chrono::milliseconds(1000)},
                                                  {2.0, std::chrono::milliseconds(400)}};

} // namespace

bool mayOpenConnection(const connection_budget &budget)
{
    if (budget.ownConnections == 0) {
        return true;
    }
    if (budget.opening > 0 || budget.ownConnections >= budget.ownLimit) {
        return false;
    }
    return !budget.recentlyOverloaded || budget.ownConnections < maxConnectionsWhenOverloaded;
}

duration idleTimeoutOf(const connection_budget &budget)
{
    if (budget.recentlyOverloaded) {
        // Reopening the connection would occupy a slot of a database that has none to spare.
        return idleTimeoutWhenOverloaded;
    }
    const double share =
        budget.totalLimit == 0 ? 1.0 : static_cast<double>(budget.totalConnections) / static_cast<double>(budget.totalLimit);
    if (budget.holdsForWorkspaces && share <= placedShare) {
        return idleTimeoutSteps[0].timeout;
    }
    for (const idle_timeout_step &step : idleTimeoutSteps) {
        if (share <= step.maxShareInUse) {
            return step.timeout;
        }
    }
    return idleTimeoutSteps[3].timeout;
}

} // namespace mustardrouter
