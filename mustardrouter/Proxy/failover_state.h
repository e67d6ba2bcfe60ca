#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/promotion_claim.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/proxy_settings.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mustardrouter
{

/// Why a primary should be replaced.
enum class failover_cause : std::uint8_t { none, unresponsive, leaving };

/// Progress of this instance's attempt to order a promotion.
enum class failover_phase : std::uint8_t {
    watching,
    readingClaim,
    writingClaim,
    /// With synchronous replicas: the claim is written, and the logs are read again before anything is ordered.
    readingLogs,
    /// The primary has been told to step down, and the successor is to receive the rest of its log.
    steppingDown,
    orderingPromotion,
};

/// This instance's state of replacing a group's primary.
struct failover_state {
    failover_phase phase = failover_phase::watching;
    /// When the cause was first seen; the epoch while there is none.
    time_point causeSince{};
    failover_cause cause = failover_cause::none;
    /// This instance orders no promotion before.
    time_point notBefore{};
    database_name successor;
    /// Position of the last claim that was read or written, and when the writing of this instance's claim was requested.
    store_position claimPosition;
    time_point claimRequestedAt{};
    /// Until then the promotion of the last claim is given time to take effect, unless the claim is seen to be closed.
    time_point claimRespectedUntil{};
    /// When the reading of the logs began; the part of a reachable primary's log that the successor needs before that one steps down; the
    /// replicas at that time, by incarnation.
    time_point logsReadSince{};
    std::optional<log_entry> logNeeded;
    std::map<database_name, std::uint64_t> replicas;
    /// The primary that was told to step down, and when.
    database_name steppingDown;
    time_point stepDownAt{};
};

/// A primary that is to be replaced, until a write is served by its successor.
struct primary_outage {
    failover_cause cause = failover_cause::none;
    time_point since{};
    /// The primary then; empty if none was known.
    database_name primary;
};

/// Inputs of the failover decisions about one group.
struct failover_view {
    const std::map<database_name, database_state> *databases = nullptr;
    /// The database believed to be primary, if any.
    std::optional<database_name> primary;
    std::uint32_t syncReplicas = 0;
    /// A status that was requested earlier does not count.
    time_point statusesSince{};
};

/// Name of a cause, for logs and metrics.
const char *toString(failover_cause cause);

/// Why the primary should be replaced now, judged from its missing replies and from what the replicas
/// receive: a primary that still replicates is alive, even if it does not answer this instance.
failover_cause causeOfFailover(const failover_view &view, const proxy_settings &settings, time_point now);

/// Whether the primary is known and replies, so that it can be told to step down.
bool isPrimaryInReach(const failover_view &view);

/// The database to promote: among those that are not leaving and replied recently, the one with the most
/// advanced log. Nothing while that log could lack an acknowledged commit. With synchronous replicas a leaving database is chosen if its
/// log is ahead of all others: it hands over later.
std::optional<database_name> chooseSuccessor(const failover_view &view, const proxy_settings &settings, time_point now);

/// Whether the successor's log has every commit that a primary which has stepped down may have acknowledged, although it lacks the end of
/// that one's log: none of the replicas that may have confirmed a commit has left or started again, and none is ahead.
bool isAheadOfReplicas(const failover_view &view, const failover_state &watch);

/// Whether the primary has stepped down and the successor has received all of its log, both as reported by commands that were
/// sent after `since`.
bool isReadyForHandOver(const failover_view &view, const database_name &successor, time_point since);

/// Whether another instance's claim may still lead to a promotion: no newer term has been seen, or its successor lives and is
/// not the primary. The claimant may know of an older term than this instance.
bool isClaimOpen(const failover_view &view, const promotion_claim &claim);

/// Highest term that any database of the group has reported.
term_number highestTerm(const failover_view &view);

} // namespace mustardrouter
