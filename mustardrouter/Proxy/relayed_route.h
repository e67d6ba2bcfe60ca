#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/route_table.h"

#include <optional>

namespace mustardrouter
{

/// How the instance that relays a statement serves its route. Instances may have different versions of the configuration, and neither
/// knows which is newer, so a statement runs only where both lead to the same group, and by the stricter of both rules.
struct relayed_route {
    group_name group;
    read_rule rule = read_rule::latest;
    duration maxAge{};

    bool operator==(const relayed_route &) const = default;
};

/// The holder's own route with the stricter of both read rules; nothing if it leads to another group.
std::optional<route> stricterOf(const route &own, const relayed_route &relayed);

} // namespace mustardrouter
