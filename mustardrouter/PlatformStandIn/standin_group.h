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

/// One commit in the log of a stand-in database; `id` is the client's name of its write or commit.
struct standin_commit {
    term_number term;
    std::string id;
};

/// One database of a stand-in group, without its sockets.
struct standin_member {
    database_name name;
    std::string address;
    std::string dataCentre;
    /// Its process runs.
    bool running = true;
    /// Its machine neither hears nor says anything.
    bool unresponsive = false;
    bool leaving = false;
    bool primary = false;
    /// Receives nothing from the primary.
    bool replicationBlocked = false;
    term_number term{1};
    /// It receives nothing until it is promoted in this term or a later one; zero when it does not hold back.
    term_number pausedUntilTerm;
    duration lag = std::chrono::milliseconds(10);
    /// What it received.
    std::vector<standin_commit> log;
    /// How many of these it has applied, and when it applies the others.
    std::size_t applied = 0;
    std::deque<time_point> applyAt;
    /// When it started; another value is another life.
    std::uint64_t incarnation = 1;
};

/// A database group as the users' pages describe it: logs, replication and promotion, without sockets or clocks.
struct standin_group {
    group_name name;
    std::uint32_t slots = 3;
    std::uint32_t connections = 20;
    std::uint32_t syncReplicas = 0;
    std::map<database_name, standin_member> members;
    /// The primary's commits reach no replica.
    bool replicasDisconnected = false;
};

/// What a promotion did.
struct standin_promotion {
    /// Length of what the former log and the new primary's share.
    std::size_t commonLength = 0;
    /// Commits of the former log behind that.
    std::vector<std::string> dropped;
    /// Commits of the new primary's log behind that, which an earlier promotion had dropped.
    std::vector<std::string> restored;
};

/// The member that leads, or nothing.
standin_member *primaryOf(standin_group &group);
/// The end of what the member has applied.
log_entry appliedEnd(const standin_member &member);
/// The end of what the member has received.
log_entry receivedEnd(const standin_member &member);
/// Lets replicas receive what the primary has, and apply what is due.
void replicate(standin_group &group, time_point now);
/// Adds a commit to the primary's log; gives its index.
std::size_t appendCommit(standin_member &primary, const std::string &id);
/// Whether as many replicas as the group demands have received the commit at `index` of the primary's log.
bool isReplicated(const standin_group &group, const standin_member &primary, std::size_t index);
/// Makes a member lead the next term with what it has received; nothing when it does not run or leads already.
std::optional<standin_promotion> promoteMember(standin_group &group, const database_name &name);
/// The member starts again under its name and holds nothing.
void clearState(standin_member &member);

} // namespace mustardrouter
