#pragma once

#include "mustardrouter/Proxy/route_table.h"

#include <string>

namespace mustardrouter
{

/// A named route of the soak's configuration.
struct soak_route {
    std::string name;
    route sessionRoute;
    /// Serves callers without a known key too.
    bool isPublic = false;
    /// Each version may lead it to another group; `sessionRoute.group` says nothing then.
    bool moves = false;
};

} // namespace mustardrouter
