#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// A configuration object of any kind.
using configuration_object = std::variant<place, service, database_group, named_read_rule, session_policy>;

/// Identity of an object.
struct object_reference {
    /// For example "service".
    std::string kind;
    std::string name;
    auto operator<=>(const object_reference &) const = default;
};

/// Objects to store and objects to remove, published atomically.
struct change_set {
    std::vector<configuration_object> changed;
    std::vector<object_reference> removed;
    bool operator==(const change_set &) const = default;
};

/// Kind and name of an object.
object_reference referenceOf(const configuration_object &object);

/// Formats a reference as operators see it, for example "service/scripts".
std::string toString(const object_reference &object);

/// Whether the snapshot contains an object of that kind and name.
bool contains(const configuration_snapshot &snapshot, const object_reference &object);

/// References to all objects that the set changes or removes, sorted.
std::vector<object_reference> affectedObjects(const change_set &changes);

/// Merges two sets into one that has the effect of applying `first` and then `second`.
change_set mergeChanges(const change_set &first, const change_set &second);

/// Applies the changes to a snapshot; the revision number is not changed.
configuration_snapshot applyChanges(configuration_snapshot snapshot, const change_set &changes);

/// The changes that turn `from` into `to`.
change_set differenceOf(const configuration_snapshot &from, const configuration_snapshot &to);

} // namespace mustardrouter
