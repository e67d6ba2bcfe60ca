#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// One object of any kind.
using configuration_object = std::variant<place, service, database_group, named_read_rule, session_policy>;

/// Identity of an object.
struct object_reference {
    /// As in "service".
    std::string kind;
    std::string name;
    auto operator<=>(const object_reference &) const = default;
};

/// Objects to store and objects to remove, published as a whole or not at all.
struct change_set {
    std::vector<configuration_object> changed;
    std::vector<object_reference> removed;
    bool operator==(const change_set &) const = default;
};

/// Kind and name of an object.
object_reference referenceOf(const configuration_object &object);

/// As shown to operators: "service/scripts".
std::string toString(const object_reference &object);

/// Whether the snapshot holds an object of that kind and name.
bool contains(const configuration_snapshot &snapshot, const object_reference &object);

/// Every object that the set changes or removes, in order.
std::vector<object_reference> touchedBy(const change_set &changes);

/// Changes that have the effect of one set after the other.
change_set mergeChanges(const change_set &first, const change_set &second);

/// The snapshot after the changes. The revision is left as it was.
configuration_snapshot applyChanges(configuration_snapshot snapshot, const change_set &changes);

/// Changes that lead from one snapshot to the other.
change_set differenceOf(const configuration_snapshot &from, const configuration_snapshot &to);

} // namespace mustardrouter
