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

/// Part that an instance has in a group.
enum class ownership_role : std::uint8_t {
    /// Holds no range; reads the record now and then.
    bystander,
    /// Holds a reserve range and listens to the owner.
    deputy,
    /// Waits for the platform's answer to its claim.
    claiming,
    /// Owns the group; see promotion_phase.
    owner,
};

/// How far an owner has come in making a primary.
enum class promotion_phase : std::uint8_t { fencing, promoting, confirming, serving };

/// What an owner knows of one database.
struct database_view {
    database_name name;
    database_report report;
    /// When the last report came; the epoch when none has come yet.
    time_point lastReportAt{};
    /// When it last answered a statement.
    time_point lastAnswerAt{};
    time_point orderedAt{};
    time_point probedAt{};
    /// When its control connection was last replaced because of its silence.
    time_point connectionReplacedAt{};
    std::uint32_t reconnectCount = 0;
    bool answeredFence = false;
    bool reachable = true;
    /// An operator promoted without it; it counts again once it follows the current term.
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
    /// See owner_candidates_changed.
    std::vector<term_range> ranking;
    std::shared_ptr<const std::set<instance_name>> live;
    std::vector<database_view> databases;

    /// Term in which this instance works while it is owner.
    term_number term;
    /// Range from which the terms are taken.
    term_range ownRange;
    database_name primary;
    log_entry barrier;
    /// Replacement that an operator asked for.
    std::optional<database_name> preferredPrimary;
    /// Primary that was replaced because it failed; chosen again only when it must be.
    std::optional<database_name> avoidedPrimary;
    /// Since when the primary's control connection is broken; the epoch when it is not.
    time_point primaryConnectionLostAt{};
    bool resigning = false;
    /// Hears too few databases and asks its deputies to try.
    bool isolated = false;
    /// Times that this instance gave the group away since it last served it.
    std::uint32_t handoverCount = 0;
    /// The record on the platform does not name this instance as owner yet.
    bool storedRecordOutdated = false;
    bool recordRequestPending = false;
    /// Since when no holder of the record is known to live; the epoch while one does.
    time_point holdersMissingSince{};

    std::uint64_t round = 0;
    time_point roundStartedAt{};
    time_point lastTickAt{};
    /// When at least a fence quorum of databases was last heard from.
    time_point quorumReportedAt{};
    time_point lastHeartbeatAt{};
    /// Highest term of a heartbeat.
    term_number ownerTerm;
    /// First heartbeat that said that the owner resigns; the epoch when it does not.
    time_point ownerResignsSince{};
    time_point claimStartedAt{};
    time_point recordRequestedAt{};
    time_point phaseStartedAt{};
    time_point fenceQuorumReachedAt{};
    time_point heartbeatSentAt{};
};

/// Advances the ownership of a group by one event and appends what is to be done.
void step(group_ownership &state, const ownership_event &event, time_point now, ownership_actions &actions);

/// Instant before which a clock tick changes nothing, unless another event comes first.
time_point nextWakeup(const group_ownership &state);

/// Whether the instance owns the group and its primary takes statements.
bool isServing(const group_ownership &state);

/// Highest position that enough replicas confirm in the current term; zero when below the barrier.
log_position confirmedPosition(const group_ownership &state);

/// Number of databases that must answer a fence: any so many hold every acknowledged write.
std::size_t fenceQuorum(const group_ownership &state);

/// Whether so many databases answered a report order of at least `round` in the current term that no
/// higher term served when it was given. A primary counts like a replica: one database alone proves nothing.
bool isRoundConfirmed(const group_ownership &state, std::uint64_t round);

/// Databases heard from within the suspicion time.
std::size_t responsiveDatabaseCount(const group_ownership &state, time_point now);

/// What keeps an owner from serving, or writes from being acknowledged; failure::none when nothing does.
failure availabilityProblem(const group_ownership &state, time_point now);

/// Starts a round of reports at once and returns its number.
std::uint64_t startRound(group_ownership &state, time_point now, ownership_actions &actions);

/// The view of a database, or nothing when the group has none of that name.
const database_view *findDatabase(const group_ownership &state, const database_name &name);

} // namespace mustardrouter
