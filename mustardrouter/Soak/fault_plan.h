#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// What the soak does to the instances, their links, the store and the databases.
enum class soak_fault : std::uint8_t {
    linkDelay,
    linkReset,
    linkHoldRequests,
    linkHoldAnswers,
    linkSilence,
    linkTrickle,
    linkRefuse,
    instanceStop,
    instanceKill,
    instancePause,
    allInstancesKill,
    settingsReload,
    settingsBroken,
    storeDown,
    storeSlow,
    storeRefuses,
    storeLosesAnswers,
    storeLateWrites,
    storeForgets,
    ordersLate,
    databaseDark,
    databaseCrash,
    databaseReborn,
    databaseLeaves,
    databaseReset,
    replicaLag,
    replicaDeaf,
    answersLost,
    primaryCutFromReplicas,
    primaryCutFromSome,
    configurationChange,
    /// Not a fault: the number of kinds above.
    count,
};

/// Name of a kind in plans and reports.
std::string_view toString(soak_fault kind);

/// One fault of a plan. `target` and `variant` are numbers that are taken modulo what there is to choose from.
struct planned_fault {
    duration at{};
    duration length{};
    soak_fault kind = soak_fault::linkDelay;
    std::uint32_t target = 0;
    std::uint32_t variant = 0;
};

/// A span of trouble and the calm after it.
struct soak_round {
    duration faultsFrom{};
    duration quietFrom{};
    duration end{};
};

/// What is to happen in a run; the same seed gives the same plan.
struct soak_plan {
    std::vector<soak_round> rounds;
    /// In the order of their times.
    std::vector<planned_fault> faults;
    duration length{};
};

/// Makes the plan for a seed that lasts about `length`, one round at least.
soak_plan makePlan(std::uint64_t seed, duration length);

/// One line for each fault, with its number.
std::string describe(const soak_plan &plan);

} // namespace mustardrouter
