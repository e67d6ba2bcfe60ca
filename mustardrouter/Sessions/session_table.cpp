#include "mustardrouter/Sessions/session_table.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

void dropLeastRecentlyUsed(session_table &table)
{
    const session_table::entry &last = table.byUse.back();
    table.unknownFloor = std::max(table.unknownFloor, last.floor);
    table.bySession.erase(last.session);
    table.byUse.pop_back();
}

} // namespace

session_table::session_table(std::size_t maxSessions)
    : capacity(maxSessions)
{
}

log_entry floorOf(session_table &table, const session_name &session)
{
    return knownFloorOf(table, session).value_or(table.unknownFloor);
}

std::optional<log_entry> knownFloorOf(session_table &table, const session_name &session)
{
    const auto found = table.bySession.find(session);
    if (found == table.bySession.end()) {
        return std::nullopt;
    }
    table.byUse.splice(table.byUse.begin(), table.byUse, found->second);
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
        table.byUse.splice(table.byUse.begin(), table.byUse, found->second);
        return;
    }
    const log_entry start = std::max(table.unknownFloor, floor);
    table.byUse.push_front({session, start});
    table.bySession.emplace(session, table.byUse.begin());
    if (table.byUse.size() > table.capacity) {
        dropLeastRecentlyUsed(table);
    }
}

void resetFloors(session_table &table, const log_entry &barrier)
{
    table.byUse.clear();
    table.bySession.clear();
    table.unknownFloor = barrier;
}

} // namespace mustardrouter
