#pragma once

#include "mustardrouter/Proxy/route_table.h"

#include <string>

namespace mustardrouter
{

/// A route of the soak's configuration with its name.
struct soak_route {
    std::string name;
    route rules;
};

} // namespace mustardrouter
