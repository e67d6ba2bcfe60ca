#pragma once

#include "bench/capacity/series.h"

#include <vector>

namespace mustardrouter::bench
{

/// Cost of a group for one instance, by the instance's role in it: dimension groups.
std::vector<series> measureGroups();

/// Cost of owning 20 groups, by the number of databases of each: dimension databases.
std::vector<series> measureDatabases();

/// Cost of ranking and of membership: dimension nodes.
std::vector<series> measureNodes();

/// Cost of statements in the decision modules and the codec: dimension statements.
std::vector<series> measureStatements();

/// Memory of idle caller connections over loopback: dimension connections.
std::vector<series> measureConnections();

/// Size and cost of a configuration: dimension objects.
std::vector<series> measureObjects();

/// Size and cost of a published difference: dimension changes.
std::vector<series> measureChanges();

} // namespace mustardrouter::bench
