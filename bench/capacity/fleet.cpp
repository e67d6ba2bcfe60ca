#include "bench/capacity/fleet.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <vector>

namespace mustardrouter::bench
{

fleet todaysFleet()
{
    const fleet target = targetFleet();
    fleet today{"today", 21, 3, 9, 0, 0, 0, 3, 1};
    const double share = today.nodes / target.nodes;
    today.callerConnections = target.callerConnections * share;
    today.statementsPerSecond = target.statementsPerSecond * share;
    today.changesPerDay = target.changesPerDay * share;
    return today;
}

fleet targetFleet()
{
    return {"target", 650, 293, 880, 1.7e6, 260e3, 1200, 5, 2};
}

ownership_spread spreadOf(const fleet &of)
{
    std::vector<instance_name> names;
    for (std::size_t index = 0; index < static_cast<std::size_t>(of.nodes); ++index) {
        names.emplace_back("entry-" + std::to_string(index) + ".1766500000000000");
    }
    std::map<instance_name, double> owned;
    std::map<instance_name, double> deputyOf;
    for (std::size_t index = 0; index < static_cast<std::size_t>(of.groups); ++index) {
        const std::vector<instance_name> ranked = rankInstances("group-" + std::to_string(index), names);
        owned[ranked[0]] += 1;
        deputyOf[ranked[1]] += 1;
        deputyOf[ranked[2]] += 1;
    }
    ownership_spread spread;
    spread.meanOwned = of.groups / of.nodes;
    for (const auto &[name, count] : owned) {
        spread.mostOwned = std::max(spread.mostOwned, count);
    }
    for (const auto &[name, count] : deputyOf) {
        spread.mostDeputyOf = std::max(spread.mostDeputyOf, count);
    }
    return spread;
}

} // namespace mustardrouter::bench
