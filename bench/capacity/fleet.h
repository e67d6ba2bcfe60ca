#pragma once

#include <cstddef>
#include <string>

namespace mustardrouter::bench
{

/// Sizes of a whole deployment.
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

/// A user's deployment of today. Caller connections, statements and changes are the target's
/// shares by instance, as the users do not state them.
fleet todaysFleet();

/// The target.
fleet targetFleet();

/// How the owners of all groups spread over the instances.
struct ownership_spread {
    double meanOwned = 0;
    double mostOwned = 0;
    double mostDeputyOf = 0;
};

/// Ranks the groups of a fleet over its instances by the real ranking.
ownership_spread spreadOf(const fleet &of);

} // namespace mustardrouter::bench
