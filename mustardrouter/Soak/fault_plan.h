#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// Faults that the soak injects into instances, their connections, the store and the databases.
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
    /// The store returns from an older copy after a short outage; planned apart from the others.
    storeReturnsFromCopy,
    /// From here on only where workspaces are played; planned apart from the others.
    keysWithdrawn,
    keyAdded,
    keyMoved,
    limitLowered,
    limitRaised,
    /// A workspace sends many times its usual.
    workspaceBusy,
    /// Promotion orders are refused; planned where entries are old.
    ordersRefused,
    /// Number of kinds, not a fault.
    count,
};

/// Name of a kind as printed in plans and reports.
std::string_view toString(soak_fault kind);

/// One fault of a plan. `target` and `variant` are taken modulo the number of choices when the fault is injected.
struct planned_fault {
    duration at{};
    duration length{};
    soak_fault kind = soak_fault::linkDelay;
    std::uint32_t target = 0;
    std::uint32_t variant = 0;
};

/// A phase with faults and the quiet phase that follows it; all times count from the start of the run.
struct soak_round {
    duration faultsFrom{};
    duration quietFrom{};
    duration end{};
};

/// Schedule of a run; the same seed gives the same plan.
struct soak_plan {
    std::vector<soak_round> rounds;
    /// Ordered by start time.
    std::vector<planned_fault> faults;
    duration length{};
};

/// Whether the soak of this seed plays workspaces.
bool playsWorkspaces(std::uint64_t seed);

/// Whether the soak of this seed has planned work only, and statements that take long.
bool playsPlannedWorkOnly(std::uint64_t seed);

/// Whether the soak of this seed plays a store whose answers are old where that is allowed, and which has entries of lost instances.
bool playsOldEntries(std::uint64_t seed);

/// Whether the soak of this seed has routes that move between two groups.
bool playsRouteMoves(std::uint64_t seed);

/// Makes the plan for a seed: whole rounds within `length`, at least one.
soak_plan makePlan(std::uint64_t seed, duration length);

/// One line per fault, starting with its number.
std::string describe(const soak_plan &plan);

} // namespace mustardrouter
