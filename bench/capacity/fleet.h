#pragma once

#include <cstddef>
#include <string>

namespace mustardrouter::bench
{

/// Size and load of a whole deployment.
struct fleet {
    std::string name;
    double nodes = 0;
    double groups = 0;
    double databases = 0;
    double callerConnections = 0;
    double statementsPerSecond = 0;
    double changesPerDay = 0;
    double dataCentres = 0;
    double regions = 0;
};

/// A present-day deployment. Caller connections, statements and changes are unknown for it and are scaled down from the
/// target by the number of nodes.
fleet todaysFleet();

/// The deployment that the system is designed for.
fleet targetFleet();

/// Distribution of ownership over the instances.
struct ownership_spread {
    double meanOwned = 0;
    double mostOwned = 0;
    double mostDeputyOf = 0;
};

/// Computes the distribution for a fleet with the real rendezvous ranking.
ownership_spread spreadOf(const fleet &of);

} // namespace mustardrouter::bench
