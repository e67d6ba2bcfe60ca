#pragma once

#include "mustardrouter/Routing/engine_step.h"

#include <optional>

namespace mustardrouter
{

/// Starts whatever waits and can run now: first statements of open transactions, then work for
/// the primary, then reads on the database that suits each.
void dispatchQueues(engine_step &step);

/// The lane in which a statement waits first.
queue_lane laneFor(const statement &what);

/// The answer to a statement that cannot be expected to end within its deadline, or nothing.
std::optional<statement_result> refusalIfLate(engine_step &step, const statement &what);

/// Notes what a report says of a database's log.
void recordReportedPosition(group_engine &engine, const database_view &view, time_point now);

/// Opens connections ahead of demand and closes those that are idle, silent or on a leaving database.
void maintainConnections(engine_step &step);

/// Whether the primary asks for no more work and another database can take its place.
bool shouldReplacePrimary(const group_engine &engine);

/// The database that is to replace a leaving primary once nothing runs there; nothing until then.
std::optional<database_name> successorOfLeavingPrimary(const group_engine &engine, time_point now);

} // namespace mustardrouter
