#pragma once

#include "mustardrouter/Ownership/group_ownership.h"

namespace mustardrouter
{

// Functions shared by the source files that implement group_ownership; not part of its interface.

void logMessage(ownership_actions &actions, std::string text);
database_view *findMutableDatabase(group_ownership &state, const database_name &name);

// Ownership record, heartbeats and the roles other than owner (claim.cpp).

/// Index of this instance among the record's holders; nothing when it holds no range.
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

// Fencing, promotion and supervision of the primary (promotion.cpp, supervision.cpp).

void beginFencing(group_ownership &state, time_point now, ownership_actions &actions);
/// Starts the owner's next term, in which another database is preferred as primary.
void replacePrimary(group_ownership &state, time_point now, ownership_actions &actions, const std::string &reason);
void onOwnerReport(group_ownership &state, database_view &view, time_point now, ownership_actions &actions);
void tickFencing(group_ownership &state, time_point now, ownership_actions &actions);
void tickConfirming(group_ownership &state, time_point now, ownership_actions &actions);
void onPromotionForced(group_ownership &state, const promotion_forced &event, time_point now, ownership_actions &actions);
/// Repeats the follow order to databases that do not follow the primary yet.
void orderFollowers(group_ownership &state, time_point now, ownership_actions &actions);
void tickOwner(group_ownership &state, time_point now, ownership_actions &actions);
void onDatabaseReport(group_ownership &state, const database_reported &event, time_point now, ownership_actions &actions);
void onStatementAnswered(group_ownership &state, const database_answered &event, time_point now);
void onDatabaseUnreachable(group_ownership &state, const database_unreachable &event, time_point now, ownership_actions &actions);
void onPrimaryChange(group_ownership &state, const primary_change_requested &event, time_point now, ownership_actions &actions);
/// Shifts the report times of the databases by the length of a pause of this process, so that they do not seem
/// unresponsive because of it.
void compensateForPause(group_ownership &state, time_point now);

} // namespace mustardrouter
