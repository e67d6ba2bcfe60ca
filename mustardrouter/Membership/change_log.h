#pragma once

#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// How an object's content came from one position to a later one.
struct object_difference {
    store_position before;
    store_position after;
    std::string difference;
};

/// Changes of one kind of the store's objects that one answer told.
struct change_batch {
    store_position from;
    store_position to;
    /// The changes were made after this time.
    time_point changedSince{};
    /// When the store's answer arrived at the instance that asked; not later than that.
    time_point answeredAt{};
    std::set<std::string> removed;
    /// Of large objects, by name.
    std::map<std::string, object_difference> differences{};
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
    /// The names of all objects have to be passed on, since the log does not go back far enough to know which were removed.
    bool whole = false;
    time_point changedSince{};
    time_point answeredAt{};
    std::set<std::string> removed;
    /// By name, oldest first; an object may have changed without one of them.
    std::map<std::string, std::vector<object_difference>> differences{};
};

/// Nothing if `known` is the log's end or later, or of another era: one of an earlier era has to read all objects again.
std::optional<lacking_changes> changesSince(const change_log &log, store_position known);

/// The last of the differences, oldest first, that lead to the object's position without a gap.
std::vector<object_difference> leadingTo(const std::vector<object_difference> &differences, store_position position);

/// Whether changes `from` a position on, or all objects if `whole`, bring a copy at `known` to the position `to`.
bool continuesAt(store_position known, bool whole, store_position from, store_position to);

} // namespace mustardrouter
