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

/// A fault with its start and length in milliseconds.
struct fault {
    fault_kind kind = fault_kind::cutPrimary;
    int start = 0;
    int length = 0;
};

/// Protections that the simulated environment can disable, to verify that the checker detects their absence.
enum class defect : std::uint8_t {
    none,
    /// The floors of sessions are dropped before they reach the owner.
    ignoreFloors,
    /// A promotion appends no entry of its own term, and database reports give inherited entries the new term.
    skipBarrier,
    /// Replicas report entries that they have not received.
    skipConfirmation,
    /// Databases report rounds that have not been requested yet.
    skipRounds,
    /// A write with an unknown outcome is retried without its idempotency key.
    retryUnknown,
    /// Databases execute statements of any term.
    ignoreTerms,
    /// A database commits a connection's open transaction when the connection closes, instead of rolling it back.
    keepTransactions,
    count,
};

/// Parameters that fully determine one history.
struct scenario {
    std::uint32_t seed = 0;
    std::size_t instances = 3;
    std::uint32_t confirmReplicas = 1;
    std::size_t sessions = 4;
    std::size_t operationsPerSession = 14;
    std::vector<fault> faults;
};

/// Name of a fault, for reports and the command line.
std::string toString(fault_kind kind);
/// Name of a defect on the command line.
std::string toString(defect kind);
/// Describes a scenario in one line.
std::string describe(const scenario &what);

/// Length of the operation phase, in which callers start operations.
constexpr duration operationPhaseDuration = std::chrono::milliseconds(900);
/// Time after the operation phase by which all faults have ended and all requests have finished.
constexpr duration settleDuration = std::chrono::milliseconds(1500);

} // namespace mustardrouter::histories
