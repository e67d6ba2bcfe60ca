#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/relayed_route.h"
#include "mustardrouter/Workspaces/caller_identity.h"

#include <optional>
#include <string>

namespace mustardrouter
{

/// What a message says of the statements in it.
struct statement_header {
    /// Database name that the client requested.
    std::string route;
    duration timeLeft{};
    caller_identity caller{};
    /// Only where a statement or transaction starts.
    std::optional<relayed_route> served{};
};

} // namespace mustardrouter
