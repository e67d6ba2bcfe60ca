#pragma once

#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace mustardrouter
{

/// Changes of one kind of the store's objects that one answer told.
struct change_batch {
    store_position from;
    store_position to;
    /// The changes were made after this time.
    time_point changedSince{};
    /// When the store's answer arrived at the instance that asked; not later than that.
    time_point answeredAt{};
    std::set<std::string> removed;
};

/// The last changes of a copy of one kind of objects. What changed an object last is known from the object itself; the log adds which
/// were removed, and when.
struct change_log {
    std::deque<change_batch> batches;
    /// The log is complete from here on.
    store_position start;
    store_position end;
};

/// The copy was read as a whole at this position.
void restartLog(change_log &log, store_position position);
/// The copy was brought to the batch's end.
void appendToLog(change_log &log, change_batch batch);
/// The copy is the same at a later position.
void extendLog(change_log &log, store_position position);

/// What one that has the objects at a position lacks.
struct lacking_changes {
    /// All objects have to be passed on, since the log does not go back far enough.
    bool whole = false;
    time_point changedSince{};
    time_point answeredAt{};
    std::set<std::string> removed;
};

/// Nothing if `known` is the log's end or later, or of another era: one of an earlier era has to read all objects again.
std::optional<lacking_changes> changesSince(const change_log &log, store_position known);

/// Whether changes `from` a position on, or all objects if `whole`, bring a copy at `known` to the position `to`.
bool continuesAt(store_position known, bool whole, store_position from, store_position to);

} // namespace mustardrouter
