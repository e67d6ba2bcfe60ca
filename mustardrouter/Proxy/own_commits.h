#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Sessions/session_token.h"

#include <optional>

namespace mustardrouter
{

/// What one session has committed: for each group, the log entry up to which all commits acknowledged to it are included.
///
/// Invariant: a position in a log means nothing without its group. It is kept, compared and sent with the group of that log,
/// positions of two groups are never compared, and the entry of a group changes only by replies of that group's databases.
///
/// An entry outlives the group's routes and its service: both may return with the same log. So there are at most as many as the
/// session has committed to groups.
struct own_commits {
    session_floors_by_group byGroup;
};

/// Stands for commits at an unknown position; no log has its term.
constexpr log_entry unknownEntry{};

/// The entry that a read of the session must not fall behind at databases of the group; none if it has committed nothing there.
std::optional<log_entry> floorOf(const own_commits &commits, const group_name &group);

/// Records a commit that was acknowledged to the session, at the position that the group's primary replied; none if that is unknown.
void recordCommit(own_commits &commits, const group_name &group, const std::optional<log_entry> &position);

/// Whether a log of the group that ends at the position lacks commits of the session, or may hold others in their place.
bool lacksCommits(const own_commits &commits, const group_name &group, const log_entry &position);

/// Records where the log of a primary ends that was verified to be the group's only one when it ran a read. A log without the
/// session's commits proves that a promotion has rolled them back: their entry would block all its further reads, and is replaced.
/// Returns whether it was.
bool recordVerifiedLog(own_commits &commits, const group_name &group, const std::optional<log_entry> &position);

} // namespace mustardrouter
