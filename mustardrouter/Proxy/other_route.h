#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <string>

namespace mustardrouter
{

/// A route that a holder leads to another group than this instance does.
struct other_route {
    std::string name;
    /// Since when, and until when this is assumed.
    time_point since{};
    time_point validUntil{};
};

} // namespace mustardrouter
