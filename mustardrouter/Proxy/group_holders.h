#pragma once

#include "mustardrouter/Membership/rendezvous.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "mustardrouter/Proxy/route_table.h"

#include <string_view>
#include <vector>

namespace mustardrouter
{

/// Most connections that a holder opens to one database of its group.
constexpr std::uint32_t connectionsPerHolder = 4;

/// The instances of one data centre that may hold connections, with their indexes in the list.
struct data_centre_candidates {
    instance_name dataCentre;
    std::vector<weighted_instance> instances;
    std::vector<std::size_t> indexes;
};

/// Groups the instances that are not leaving by data centre, once for the holders of all groups. Refers to the list's names.
std::vector<data_centre_candidates> candidatesOf(const instance_listing &instances);

/// Answers deployments whose databases accept fewer connections than three for each instance: connections that are
/// opened and closed in turn by all instances would cost the databases more than the statements. A few instances, the holders,
/// keep the connections to a group, and the others relay their statements to them.
///
/// Returns the holders of the group, whose databases have `slots` each, as indexes into the list; empty where each instance can hold
/// connections itself. All instances with the same list compute the same holders. They are spread evenly over the data centres, and
/// chosen within each by weighted rendezvous hashing, so that an instance that comes or goes changes at most one of them.
std::vector<std::size_t> holdersOf(std::string_view group,
                                   const group_limits &limits,
                                   std::uint32_t slots,
                                   const std::vector<data_centre_candidates> &candidates);

} // namespace mustardrouter
