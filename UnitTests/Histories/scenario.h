#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// A fault that a history injects.
enum class fault_kind : std::uint8_t {
    cutPrimary,
    cutPrimaryOneWay,
    crashPrimary,
    pausePrimary,
    slowReplicas,
    crashReplica,
    crashOwner,
    pauseOwner,
    cutOwnerFromPeers,
    cutOwnerFromDatabases,
    crashEntry,
    resetPeers,
    platformDown,
    platformSlow,
    platformLosesAnswers,
    silentConnections,
    callersLeave,
    changePrimary,
    resign,
    count,
};

/// One fault with its start and its length, in milliseconds.
struct fault {
    fault_kind kind = fault_kind::cutPrimary;
    int start = 0;
    int length = 0;
};

/// Protections that the fake surroundings can take away, to show that the checker misses them.
enum class defect : std::uint8_t {
    none,
    /// Sessions' floors are lost on the way to the owner.
    ignoreFloors,
    /// A promotion appends no entry of its own, and reports pass inherited entries off as new.
    skipBarrier,
    /// Replicas report entries that they have not received.
    skipConfirmation,
    /// Replicas answer rounds that were not asked for yet.
    skipRounds,
    /// A write whose outcome is unknown is sent once more without its key.
    retryUnknown,
    /// Databases run statements of any term.
    ignoreTerms,
    /// A database keeps a transaction open when its connection closes.
    keepTransactions,
    count,
};

/// Everything that decides one history.
struct scenario {
    std::uint32_t seed = 0;
    std::size_t instances = 3;
    std::uint32_t confirmReplicas = 1;
    std::size_t sessions = 4;
    std::size_t operations = 14;
    std::vector<fault> faults;
};

/// Name of a fault for reports.
std::string toString(fault_kind kind);
/// Name of a defect on the command line.
std::string toString(defect kind);
/// One line that says what a scenario holds.
std::string describe(const scenario &what);

/// When no more operations start, and when the faults have ended and everything has settled.
constexpr duration faultDuration = std::chrono::milliseconds(900);
constexpr duration settleDuration = std::chrono::milliseconds(1500);

} // namespace mustardrouter::histories
