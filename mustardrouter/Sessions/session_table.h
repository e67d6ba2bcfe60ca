#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace mustardrouter
{

/// Floors that an owner keeps for sessions by name, for callers that bring no token.
/// Bounded: the least recently used session is dropped, and from then on every unknown
/// session gets the highest floor ever dropped, so that dropping never lets a read go stale.
struct session_table {
    explicit session_table(std::size_t capacity);

    struct entry {
        session_name session;
        log_entry floor;
    };

    std::size_t capacity;
    /// Floor of every session that is not in the table.
    log_entry untrackedFloor;
    std::list<entry> byRecency;
    std::unordered_map<session_name, std::list<entry>::iterator> bySession;
};

/// The floor of a session, known or not.
log_entry floorOf(session_table &table, const session_name &session);

/// The floor of a session that is in the table, or nothing.
std::optional<log_entry> knownFloorOf(session_table &table, const session_name &session);

/// Raises the floor of a session; an empty name changes nothing.
void raiseSessionFloor(session_table &table, const session_name &session, const log_entry &floor);

/// Starts a new term: the barrier covers every write that was ever acknowledged, so it is
/// the floor of all sessions and the table can be emptied.
void resetFloors(session_table &table, const log_entry &barrier);

} // namespace mustardrouter
