#pragma once

#include "mustardrouter/Workspaces/limit_instance.h"
#include "mustardrouter/Workspaces/limit_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardrouter
{

/// The share of all limits that this instance owns.
///
/// Members are the first instances of a rendezvous order that does not depend on the list, so they differ between two lists only by
/// what the lists differ by. A share that grows is owned only after the loans of those who owned it before have run out; one that
/// becomes smaller is so at once. An instance that was not listed before it started owns nothing before those that it displaces
/// count it.
struct limit_ownership {
    std::vector<limit_instance> listed;
    bool listReceived = false;
    /// Instances whose entries were removed though they had not left, and until when they count as members: one that reaches neither the
    /// store nor others may still spend its share.
    std::map<instance_name, time_point> removed;
    /// This instance has been told to stop, and owns nothing more.
    bool leaving = false;
    /// Instances that have told that they join before the list did, and when.
    std::map<instance_name, time_point> heard;
    /// Names of the members, first the highest ranked.
    std::vector<instance_name> members;
    /// The share owned is 1 / owned; 0: nothing.
    std::uint32_t owned = 0;
    /// The share that may be owned later, and since when nothing larger was to be expected.
    std::uint32_t expected = 0;
    time_point expectedSince{};
    /// Rank among the members.
    std::uint32_t rank = 0;
    /// Instances that have to count this one before it owns a share; nothing once it has owned one or where none have to.
    std::optional<std::set<instance_name>> uncounted;
    std::set<instance_name> countedBy;
    time_point joiningSince{};
    time_point joinSentAt{};
};

/// The list of instances was read.
void onOwnershipList(limit_ownership &ownership, const limit_settings &settings, const std::vector<limit_instance> &listed, time_point now);
/// Another instance tells that it joins.
void onJoinHeard(limit_ownership &ownership, const limit_settings &settings, const instance_name &from, time_point now);
/// Another instance counts this one.
void onCounted(limit_ownership &ownership, const instance_name &by, time_point now);
/// Owns what may be owned now.
void updateOwnership(limit_ownership &ownership, const limit_settings &settings, time_point now);
/// Instances that are to be told now that this one joins.
std::vector<instance_name> joinsToSend(limit_ownership &ownership, time_point now);
/// When updateOwnership or joinsToSend have something to do next.
std::optional<time_point> nextOwnershipChange(const limit_ownership &ownership, const limit_settings &settings);

} // namespace mustardrouter
