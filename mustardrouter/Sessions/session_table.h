#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace mustardrouter
{

/// Floors that an owner keeps by session name, for callers that send no token. The size is bounded:
/// the least recently used session is evicted, and from then on every session that is not in the table gets
/// the highest floor ever evicted, so that eviction never allows a stale read.
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

/// The floor of a session; `untrackedFloor` when it is not in the table. Marks the session as the most recently used.
log_entry floorOf(session_table &table, const session_name &session);

/// The floor of a session that is in the table, or nothing. Marks the session as the most recently used.
std::optional<log_entry> knownFloorOf(session_table &table, const session_name &session);

/// Raises the floor of a session; an empty name changes nothing.
void raiseSessionFloor(session_table &table, const session_name &session, const log_entry &floor);

/// Starts a new term: the barrier comes after every acknowledged write, so it becomes the floor of
/// all sessions and the table is emptied.
void resetFloors(session_table &table, const log_entry &barrier);

} // namespace mustardrouter
