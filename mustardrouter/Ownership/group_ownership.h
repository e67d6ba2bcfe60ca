#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Ownership/database_report.h"
#include "mustardrouter/Ownership/ownership_action.h"
#include "mustardrouter/Ownership/ownership_event.h"
#include "mustardrouter/Ownership/ownership_record.h"
#include "mustardrouter/Ownership/ownership_settings.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Role of an instance in the ownership of a group.
enum class ownership_role : std::uint8_t {
    /// Holds no range of terms; polls the record if it is among the first candidates.
    bystander,
    /// Holds a reserve range and takes over when the owner's heartbeats stop.
    deputy,
    /// Has sent a claim to the platform and waits for the answer.
    claiming,
    /// Owns the group; see promotion_phase.
    owner,
};

/// Progress of an owner in establishing a primary.
enum class promotion_phase : std::uint8_t { fencing, promoting, confirming, serving };

/// State of one database as known to this instance.
struct database_view {
    database_name name;
    database_report report;
    /// When the last report was received; the epoch when none has been received yet.
    time_point lastReportAt{};
    /// When it last answered a statement.
    time_point lastAnswerAt{};
    /// When it was last ordered to fence or to follow; these orders are repeated at `orderRetryInterval`.
    time_point lastOrderSentAt{};
    time_point probedAt{};
    /// When its control connection was last replaced because it was unresponsive.
    time_point connectionReplacedAt{};
    std::uint32_t reconnectCount = 0;
    bool answeredFence = false;
    bool reachable = true;
    /// An operator forced a promotion without it; it counts again once it answers a fence or is in sync in the
    /// current term.
    bool excludedFromQuorum = false;
};

/// State of one group's ownership on one instance.
struct group_ownership {
    group_ownership(
        group_name group, instance_name self, std::string address, std::vector<database_name> databases, ownership_settings settings);

    group_name group;
    instance_name self;
    std::string address;
    ownership_settings settings;

    ownership_role role = ownership_role::bystander;
    promotion_phase phase = promotion_phase::fencing;
    ownership_record record;
    /// First live instances in order of preference.
    std::vector<term_range> ranking;
    /// All live instances; nothing when `ranking` names them all.
    std::shared_ptr<const std::set<instance_name>> liveInstances;
    std::vector<database_view> databases;

    /// Current term while this instance is the owner.
    term_number term;
    /// Range from which this owner takes its terms.
    term_range ownRange;
    database_name primary;
    log_entry barrier;
    /// Database to be preferred as the next primary, from a planned change.
    std::optional<database_name> preferredPrimary;
    /// Primary that was replaced because it failed; chosen again only when the others are no fence quorum.
    std::optional<database_name> avoidedPrimary;
    /// When the primary's control connection was lost; the epoch while it is up.
    time_point primaryConnectionLostAt{};
    bool resigning = false;
    /// Too few databases are responsive, so the deputies are asked to take over.
    bool isolated = false;
    /// Number of handovers caused by isolation since this instance last served the group.
    std::uint32_t handoverCount = 0;
    /// The record stored on the platform does not name this instance as owner yet.
    bool storedRecordOutdated = false;
    bool recordRequestPending = false;
    /// Since when no holder in the record is known to be alive; the epoch while one is.
    time_point holdersMissingSince{};

    /// Number of the latest round of reports, in which the databases are ordered to report.
    std::uint64_t round = 0;
    time_point roundStartedAt{};
    time_point lastTickAt{};
    /// When a fence quorum of databases was last responsive.
    time_point quorumReportedAt{};
    /// When the owner's last heartbeat was received, or when the wait for one last began anew: after a change of role or
    /// a pause of the process.
    time_point lastHeartbeatAt{};
    /// Highest term received in a heartbeat.
    term_number ownerTerm;
    /// When the first heartbeat announced that the owner resigns; the epoch while it does not.
    time_point ownerResignsSince{};
    time_point claimStartedAt{};
    time_point recordRequestedAt{};
    time_point phaseStartedAt{};
    time_point fenceQuorumReachedAt{};
    time_point heartbeatSentAt{};
};

/// Advances the ownership of a group by one event and appends the resulting actions.
void step(group_ownership &state, const ownership_event &event, time_point now, ownership_actions &actions);

/// Instant before which a clock tick has no effect, unless another event comes first.
time_point nextWakeup(const group_ownership &state);

/// Whether the instance owns the group and its primary accepts statements.
bool isServing(const group_ownership &state);

/// Highest position that enough replicas have confirmed in the current term; zero when it is below the barrier.
log_position confirmedPosition(const group_ownership &state);

/// Number of databases that must answer a fence: any set of that size holds every acknowledged write.
std::size_t fenceQuorum(const group_ownership &state);

/// Whether enough databases answered a report order of at least `round` in the current term to prove that
/// no higher term was serving when the order was given. The primary counts like a replica: its answer alone
/// is no proof.
bool isRoundConfirmed(const group_ownership &state, std::uint64_t round);

/// Number of databases that reported within `primaryReportTimeout`.
std::size_t responsiveDatabaseCount(const group_ownership &state, time_point now);

/// Reason why the owner does not serve or writes are not acknowledged; failure::none when there is none.
failure availabilityProblem(const group_ownership &state, time_point now);

/// Starts a round of reports immediately and returns its number.
std::uint64_t startRound(group_ownership &state, time_point now, ownership_actions &actions);

/// The view of a database, or nullptr when the group has none of that name.
const database_view *findDatabase(const group_ownership &state, const database_name &name);

} // namespace mustardrouter
