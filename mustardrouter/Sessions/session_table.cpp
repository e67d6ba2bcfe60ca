#include "mustardrouter/Sessions/session_table.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

void evictLeastRecentlyUsed(session_table &table)
{
    const session_table::entry &last = table.byRecency.back();
    table.untrackedFloor = std::max(table.untrackedFloor, last.floor);
    table.bySession.erase(last.session);
    table.byRecency.pop_back();
}

} // namespace

session_table::session_table(std::size_t maxSessions)
    : capacity(maxSessions)
{
}

log_entry floorOf(session_table &table, const session_name &session)
{
    return knownFloorOf(table, session).value_or(table.untrackedFloor);
}

std::optional<log_entry> knownFloorOf(session_table &table, const session_name &session)
{
    const auto found = table.bySession.find(session);
    if (found == table.bySession.end()) {
        return std::nullopt;
    }
    table.byRecency.splice(table.byRecency.begin(), table.byRecency, found->second);
    return found->second->floor;
}

void raiseSessionFloor(session_table &table, const session_name &session, const log_entry &floor)
{
    if (session.value().empty()) {
        return;
    }
    const auto found = table.bySession.find(session);
    if (found != table.bySession.end()) {
        found->second->floor = std::max(found->second->floor, floor);
        table.byRecency.splice(table.byRecency.begin(), table.byRecency, found->second);
        return;
    }
    const log_entry start = std::max(table.untrackedFloor, floor);
    table.byRecency.push_front({session, start});
    table.bySession.emplace(session, table.byRecency.begin());
    if (table.byRecency.size() > table.capacity) {
        evictLeastRecentlyUsed(table);
    }
}

void resetFloors(session_table &table, const log_entry &barrier)
{
    table.byRecency.clear();
    table.bySession.clear();
    table.untrackedFloor = barrier;
}

} // namespace mustardrouter
