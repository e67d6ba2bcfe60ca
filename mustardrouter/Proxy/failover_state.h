#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/proxy_settings.h"

#include <map>
#include <optional>

namespace mustardrouter
{

/// Why a primary is to be replaced.
enum class failover_cause : std::uint8_t { none, unresponsive, leaving };

/// How far an instance's attempt to order a promotion is.
enum class failover_phase : std::uint8_t { watching, readingClaim, writingClaim, orderingPromotion };

/// An instance's view of the need to replace a group's primary.
struct failover_state {
    failover_phase phase = failover_phase::watching;
    /// When the cause was first seen; the epoch while there is none.
    time_point causeSince{};
    failover_cause cause = failover_cause::none;
    /// Before this instant nothing is ordered from here.
    time_point notBefore{};
    database_name successor;
    /// Last claim seen and when it was seen first.
    std::uint64_t claimRevision = 0;
};

/// Inputs of a decision about one group.
struct failover_view {
    const std::map<database_name, database_state> *databases = nullptr;
    /// The database believed to lead, if any.
    std::optional<database_name> primary;
    std::uint32_t syncReplicas = 0;
};

/// Why the primary should be replaced now, judged from its own silence and from what the replicas
/// still receive: a primary that feeds a replica is alive, however it looks from here.
failover_cause causeOfFailover(const failover_view &view, const proxy_settings &settings, time_point now);

/// The database to promote: of those that stay and answered lately, the one with the highest log.
/// Nothing while an acknowledged commit could be missing from it.
std::optional<database_name> chooseSuccessor(const failover_view &view, const proxy_settings &settings, time_point now);

/// Highest term that any database of the group has reported.
term_number highestTerm(const failover_view &view);

} // namespace mustardrouter
