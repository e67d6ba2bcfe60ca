#pragma once

#include "mustardrouter/Routing/engine_step.h"

#include <optional>

namespace mustardrouter
{

/// Starts queued statements that can run now: statements of open transactions first, then reads on replicas, then
/// statements that need the primary, then reads that go to the primary. The last two are not started while the primary
/// is being replaced because it leaves.
void dispatchQueues(engine_step &step);

/// Lane in which a statement is first queued.
queue_lane laneFor(const statement &what);

/// Refusal of a statement that cannot be expected to finish by its deadline, or nothing.
std::optional<statement_result> refusalIfLate(engine_step &step, const statement &what);

/// Records the log position that a database reported.
void recordReportedPosition(group_engine &engine, const database_view &view, time_point now);

/// Adjusts the admitted shares, opens connections ahead of demand and closes surplus idle ones. Skips databases that
/// accept no work.
void maintainConnections(engine_step &step);

/// Whether the primary is leaving and another database can replace it.
bool shouldReplacePrimary(const group_engine &engine);

/// Database that replaces a leaving primary, once nothing is in flight there and that database has its whole log, or
/// when the grace period is over. Nothing until then.
std::optional<database_name> successorOfLeavingPrimary(const group_engine &engine, time_point now);

} // namespace mustardrouter
