#pragma once

#include "mustardrouter/Ownership/group_ownership.h"

namespace mustardrouter
{

// Between the parts of a group's ownership: claim.cpp, promotion.cpp, confirmation.cpp.

void logMessage(ownership_actions &actions, std::string text);
database_view *findMutableDatabase(group_ownership &state, const database_name &name);

// Record, heartbeats and the roles that do not own the group (claim.cpp).

/// Place of this instance among the record's holders; nothing when it holds no range.
std::optional<std::size_t> ownHolderIndex(const group_ownership &state);
bool isLive(const group_ownership &state, const instance_name &name);
void requestRecord(group_ownership &state, time_point now, ownership_actions &actions);
void loseOwnership(group_ownership &state, time_point now, ownership_actions &actions, const char *reason);
void claimNewRange(group_ownership &state, time_point now, ownership_actions &actions);
void tickRecord(group_ownership &state, time_point now, ownership_actions &actions);
void tickHeartbeats(group_ownership &state, time_point now, ownership_actions &actions);
void tickBystander(group_ownership &state, time_point now, ownership_actions &actions);
void tickDeputy(group_ownership &state, time_point now, ownership_actions &actions);
void tickClaiming(group_ownership &state, time_point now, ownership_actions &actions);
void onRecordRead(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions);
void onRecordWritten(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions);
void onRecordRequestFailed(group_ownership &state, time_point now);
void onHeartbeat(group_ownership &state, const heartbeat_received &heartbeat, time_point now, ownership_actions &actions);
void onResignation(group_ownership &state, ownership_actions &actions);

// Fence, promotion and the supervision of the primary (promotion.cpp, supervision.cpp).

void beginFencing(group_ownership &state, time_point now, ownership_actions &actions);
/// Moves the owner to its next term, in which another database is preferred as primary.
void replacePrimary(group_ownership &state, time_point now, ownership_actions &actions, const std::string &reason);
void onOwnerReport(group_ownership &state, database_view &view, time_point now, ownership_actions &actions);
void tickFencing(group_ownership &state, time_point now, ownership_actions &actions);
void tickConfirming(group_ownership &state, time_point now, ownership_actions &actions);
void onPromotionForced(group_ownership &state, const promotion_forced &event, time_point now, ownership_actions &actions);
/// Repeats the order to follow to databases that do not.
void orderFollowers(group_ownership &state, time_point now, ownership_actions &actions);
void tickOwner(group_ownership &state, time_point now, ownership_actions &actions);
void onDatabaseReport(group_ownership &state, const database_reported &event, time_point now, ownership_actions &actions);
void onStatementAnswered(group_ownership &state, const database_answered &event, time_point now);
void onDatabaseUnreachable(group_ownership &state, const database_unreachable &event, time_point now, ownership_actions &actions);
void onPrimaryChange(group_ownership &state, const primary_change_requested &event, time_point now, ownership_actions &actions);
/// A pause of this process must not look like the silence of the databases.
void compensateForPause(group_ownership &state, time_point now);

} // namespace mustardrouter
