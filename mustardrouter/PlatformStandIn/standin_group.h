#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A commit in the log of a stand-in database; `id` is the id of the client's write or COMMIT statement.
struct standin_commit {
    term_number term;
    std::string id;
};

/// State of one database of a stand-in group, without its connections.
struct standin_member {
    database_name name;
    std::string address;
    std::string dataCentre;
    /// Its process is running.
    bool running = true;
    /// Its host neither receives nor sends anything.
    bool unresponsive = false;
    bool leaving = false;
    bool primary = false;
    /// It still considers itself primary although another database was promoted at `replacedAt`; its log has had
    /// `sharedLength` commits in common with the new primary's.
    bool replaced = false;
    time_point replacedAt{};
    std::size_t sharedLength = 0;
    /// Receives no log from the primary.
    bool replicationBlocked = false;
    term_number term{1};
    /// Receives no log until a promotion to this term or a later one; zero if not paused.
    term_number pausedUntilTerm;
    duration lag = std::chrono::milliseconds(10);
    /// Commits received.
    std::vector<standin_commit> log;
    /// Number of commits applied, and when each of the others is applied.
    std::size_t applied = 0;
    std::deque<time_point> applyAt;
    /// Changes whenever the database starts again.
    std::uint64_t incarnation = 1;
    /// Number of changes of its store entry since it started.
    std::uint64_t sequence = 1;
};

/// Model of a database group as the users' pages describe it: logs, replication and promotion, without I/O or clocks.
struct standin_group {
    group_name name;
    std::uint32_t slots = 3;
    std::uint32_t connections = 20;
    std::uint32_t syncReplicas = 0;
    std::map<database_name, standin_member> members;
    /// A replaced primary continues until it is told to step down or has been in reach of the new one for a second.
    bool replacedPrimariesContinue = false;
    /// No replica receives the primary's log.
    bool replicasDisconnected = false;
};

/// Effect of a promotion on the log.
struct standin_promotion {
    /// Length of the common prefix of the former primary's log and the new primary's.
    std::size_t commonLength = 0;
    /// Commits of the former primary's log after the common prefix.
    std::vector<std::string> dropped;
    /// Commits of the new primary's log after the common prefix, which an earlier promotion had dropped.
    std::vector<std::string> restored;
};

/// The primary that was promoted last, or null if there is none.
standin_member *primaryOf(standin_group &group);
/// Term and position of the last commit applied by the member.
log_entry appliedEnd(const standin_member &member);
/// Term and position of the last commit received by the member.
log_entry receivedEnd(const standin_member &member);
/// Lets replicas receive the primary's log and apply the commits whose time has come.
void replicate(standin_group &group, time_point now);
/// Appends a commit to the primary's log; returns its index.
std::size_t appendCommit(standin_member &primary, const std::string &id);
/// Whether at least `syncReplicas` replicas have received the commit at `index` of the primary's log.
bool isReplicated(const standin_group &group, const standin_member &primary, std::size_t index);
/// Makes a member primary of the next term with the log that it has received; nothing if it is not running, is
/// unresponsive or is primary already.
std::optional<standin_promotion> promoteMember(standin_group &group, const database_name &name, time_point now);
/// Makes a primary of a lower term a replica.
void stepDown(standin_member &member, term_number term);
/// Replaces the member by an empty one of the same name with a new incarnation.
void clearState(standin_member &member);

} // namespace mustardrouter
