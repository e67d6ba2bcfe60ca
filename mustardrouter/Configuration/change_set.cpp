#include "mustardrouter/Configuration/change_set.h"

#include <algorithm>
#include <map>
#include <optional>

namespace mustardrouter
{

namespace
{

/// Calls `visit(kind, map...)` for each kind of object, with the map of each snapshot.
template<typename Visit, typename... Snapshots>
void forEachKind(const Visit &visit, Snapshots &...snapshots)
{
    visit("place", snapshots.places...);
    visit("service", snapshots.services...);
    visit("database_group", snapshots.groups...);
    visit("read_rule", snapshots.readRules...);
    visit("session_policy", snapshots.policies...);
}

struct object_storer {
    configuration_snapshot &snapshot;

    void operator()(const place &object) const
    {
        snapshot.places.insert_or_assign(object.name, object);
    }
    void operator()(const service &object) const
    {
        snapshot.services.insert_or_assign(object.name, object);
    }
    void operator()(const database_group &object) const
    {
        snapshot.groups.insert_or_assign(object.name, object);
    }
    void operator()(const named_read_rule &object) const
    {
        snapshot.readRules.insert_or_assign(object.name, object);
    }
    void operator()(const session_policy &object) const
    {
        snapshot.policies.insert_or_assign(object.name, object);
    }
};

struct kind_namer {
    const char *operator()(const place &) const
    {
        return "place";
    }
    const char *operator()(const service &) const
    {
        return "service";
    }
    const char *operator()(const database_group &) const
    {
        return "database_group";
    }
    const char *operator()(const named_read_rule &) const
    {
        return "read_rule";
    }
    const char *operator()(const session_policy &) const
    {
        return "session_policy";
    }
};

} // namespace

object_reference referenceOf(const configuration_object &object)
{
    const std::string name = std::visit(
        [](const auto &item) {
            return item.name;
        },
        object);
    return {std::visit(kind_namer{}, object), name};
}

std::string toString(const object_reference &object)
{
    return object.kind + "/" + object.name;
}

bool contains(const configuration_snapshot &snapshot, const object_reference &object)
{
    bool found = false;
    forEachKind(
        [&](const std::string &kind, const auto &objects) {
            found = found || (kind == object.kind && objects.contains(object.name));
        },
        snapshot);
    return found;
}

std::vector<object_reference> affectedObjects(const change_set &changes)
{
    std::vector<object_reference> touched = changes.removed;
    for (const configuration_object &object : changes.changed) {
        touched.push_back(referenceOf(object));
    }
    std::ranges::sort(touched);
    return touched;
}

change_set mergeChanges(const change_set &first, const change_set &second)
{
    // An empty optional marks a removed object.
    std::map<object_reference, std::optional<configuration_object>> last;
    for (const change_set *changes : {&first, &second}) {
        for (const object_reference &removedObject : changes->removed) {
            last[removedObject] = std::nullopt;
        }
        for (const configuration_object &object : changes->changed) {
            last[referenceOf(object)] = object;
        }
    }
    change_set merged;
    for (auto &[name, object] : last) {
        if (object) {
            merged.changed.push_back(std::move(*object));
        } else {
            merged.removed.push_back(name);
        }
    }
    return merged;
}

configuration_snapshot applyChanges(configuration_snapshot snapshot, const change_set &changes)
{
    for (const object_reference &removedObject : changes.removed) {
        forEachKind(
            [&](const std::string &kind, auto &objects) {
                if (kind == removedObject.kind) {
                    objects.erase(removedObject.name);
                }
            },
            snapshot);
    }
    for (const configuration_object &object : changes.changed) {
        std::visit(object_storer{snapshot}, object);
    }
    return snapshot;
}

change_set differenceOf(const configuration_snapshot &from, const configuration_snapshot &to)
{
    change_set changes;
    forEachKind(
        [&](const std::string &kind, const auto &before, const auto &after) {
            for (const auto &[name, object] : after) {
                const auto old = before.find(name);
                if (old == before.end() || old->second != object) {
                    changes.changed.emplace_back(object);
                }
            }
            for (const auto &[name, object] : before) {
                if (!after.contains(name)) {
                    changes.removed.push_back({kind, name});
                }
            }
        },
        from,
        to);
    return changes;
}

} // namespace mustardrouter
