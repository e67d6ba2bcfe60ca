#include "mustardrouter/Configuration/configuration_check.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace mustardrouter
{

namespace
{

using problems = std::vector<configuration_problem>;

void add(problems &found, problem_kind kind, std::string object, std::string field, std::string detail)
{
    found.push_back({kind, std::move(object), std::move(field), std::move(detail), {}});
}

/// The object and the field that contain a reference.
struct reference_location {
    const std::string &object;
    std::string field;
};

template<typename Map>
void requireReference(problems &found, const Map &objects, const object_reference &target, const reference_location &location)
{
    if (!objects.contains(target.name)) {
        add(found, problem_kind::missingReference, location.object, location.field, toString(target) + " does not exist");
        found.back().target = target;
    }
}

/// Reports each name that occurs more than once.
void requireUnique(problems &found, std::vector<std::string> names, const reference_location &location)
{
    std::ranges::sort(names);
    for (auto duplicate = std::ranges::adjacent_find(names); duplicate != names.end();) {
        add(found, problem_kind::duplicateName, location.object, location.field, "\"" + *duplicate + "\" occurs more than once");
        const auto next = std::ranges::upper_bound(names, *duplicate);
        duplicate = std::adjacent_find(next, names.end());
    }
}

bool readNumber(std::string_view text, std::uint32_t limit, std::uint32_t &value)
{
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc() && end == text.data() + text.size() && value <= limit;
}

bool isIpv4(std::string_view text)
{
    constexpr std::size_t octetCount = 4;
    constexpr std::uint32_t maxOctet = 255;
    for (std::size_t octet = 1; octet <= octetCount; ++octet) {
        const std::size_t dot = text.find('.');
        if ((dot == std::string_view::npos) != (octet == octetCount)) {
            return false;
        }
        std::uint32_t value = 0;
        if (!readNumber(text.substr(0, dot), maxOctet, value)) {
            return false;
        }
        text.remove_prefix(octet == octetCount ? text.size() : dot + 1);
    }
    return true;
}

bool isIpv6(std::string_view text)
{
    constexpr std::string_view allowedCharacters = "0123456789abcdefABCDEF:.";
    return text.find("::") == text.rfind("::") && std::ranges::count(text, ':') >= 2
           && text.find_first_not_of(allowedCharacters) == std::string_view::npos;
}

void checkDatabase(problems &found, const configuration_snapshot &snapshot, const std::string &object, const database &item)
{
    const std::string field = "databases[" + item.name.value() + "]";
    if (item.name.value().empty()) {
        add(found, problem_kind::emptyName, object, "databases", "a database has no name");
    }
    requireReference(found, snapshot.places, {"place", item.place}, {object, field + ".place"});
    if (item.slots == 0 || item.connections == 0) {
        add(found, problem_kind::limitOutOfRange, object, field, "slots and connections must be at least 1");
    }
    if (item.slots > item.connections) {
        add(found, problem_kind::limitOutOfRange, object, field + ".slots", "must not exceed connections");
    }
    if (!isIpAndPort(item.address)) {
        add(found, problem_kind::badAddress, object, field + ".address", "\"" + item.address + "\" is not IP:PORT");
    }
}

void checkGroups(problems &found, const configuration_snapshot &snapshot)
{
    std::set<database_name> names;
    std::map<std::string, database_name> addresses;
    for (const auto &[name, group] : snapshot.groups) {
        const std::string object = "database_group/" + name;
        if (group.databases.empty()) {
            add(found, problem_kind::missingValue, object, "databases", "must contain at least one database");
        }
        if (group.confirmReplicas >= group.databases.size() && !group.databases.empty()) {
            add(found,
                problem_kind::notEnoughDatabases,
                object,
                "confirmReplicas",
                std::to_string(group.confirmReplicas) + " confirming replicas need more databases than "
                    + std::to_string(group.databases.size()));
        }
        for (const database &item : group.databases) {
            checkDatabase(found, snapshot, object, item);
            if (!names.insert(item.name).second) {
                add(found,
                    problem_kind::duplicateName,
                    object,
                    "databases",
                    "database \"" + item.name.value() + "\" is defined more than once");
            }
            const auto [other, added] = addresses.emplace(item.address, item.name);
            if (!added) {
                add(found,
                    problem_kind::duplicateAddress,
                    object,
                    "databases[" + item.name.value() + "].address",
                    "\"" + item.address + "\" is already used by database \"" + other->second.value() + "\"");
            }
        }
    }
}

void checkServices(problems &found, const configuration_snapshot &snapshot)
{
    for (const auto &[name, item] : snapshot.services) {
        const std::string object = "service/" + name;
        if (item.groups.empty()) {
            add(found, problem_kind::missingValue, object, "groups", "must contain at least one database group");
        }
        for (const std::string &group : item.groups) {
            requireReference(found, snapshot.groups, {"database_group", group}, {object, "groups"});
        }
        requireUnique(found, item.groups, {object, "groups"});
        requireUnique(found, item.callers, {object, "callers"});
        requireReference(found, snapshot.policies, {"session_policy", item.sessionPolicy}, {object, "sessionPolicy"});
        if (item.retryBudget < 0 || item.retryBudget > 1) {
            add(found, problem_kind::limitOutOfRange, object, "retryBudget", "must be between 0 and 1");
        }
    }
}

void checkPolicies(problems &found, const configuration_snapshot &snapshot)
{
    for (const auto &[name, item] : snapshot.policies) {
        const std::string object = "session_policy/" + name;
        requireReference(found, snapshot.readRules, {"read_rule", item.readRule}, {object, "readRule"});
        if (item.weight == 0) {
            add(found, problem_kind::limitOutOfRange, object, "weight", "must be at least 1");
        }
        if (item.deadline <= duration::zero()) {
            add(found, problem_kind::limitOutOfRange, object, "deadlineMs", "must be at least 1");
        }
        if (item.idleInTransactionTimeout <= duration::zero()) {
            add(found, problem_kind::limitOutOfRange, object, "idleInTransactionMs", "must be at least 1");
        }
    }
    for (const auto &[name, item] : snapshot.readRules) {
        if (item.rule == read_rule::age && item.maxAge <= duration::zero()) {
            add(found, problem_kind::limitOutOfRange, "read_rule/" + name, "maxAgeMs", "must be at least 1");
        }
    }
}

void checkNames(problems &found, const configuration_snapshot &snapshot)
{
    const auto check = [&](const char *kind, const auto &objects) {
        if (objects.contains(std::string())) {
            add(found, problem_kind::emptyName, toString({kind, {}}), "name", "is missing");
        }
    };
    check("place", snapshot.places);
    check("service", snapshot.services);
    check("database_group", snapshot.groups);
    check("read_rule", snapshot.readRules);
    check("session_policy", snapshot.policies);
}

/// Reports objects that occur more than once in the set, since the intended change would be ambiguous.
void checkDuplicates(problems &found, const change_set &changes)
{
    std::set<object_reference> seen;
    const auto check = [&](const object_reference &object) {
        if (!seen.insert(object).second) {
            add(found, problem_kind::duplicateName, toString(object), "name", "occurs more than once in the change set");
        }
    };
    for (const configuration_object &object : changes.changed) {
        check(referenceOf(object));
    }
    for (const object_reference &removedObject : changes.removed) {
        check(removedObject);
    }
}

std::set<database_name> namesOf(const database_group &group)
{
    std::set<database_name> names;
    for (const database &item : group.databases) {
        names.insert(item.name);
    }
    return names;
}

/// Reports changes to a group's set of databases or to its number of confirming replicas. Instances
/// adopt a revision at different times; while two of them use different quorums, a write that one
/// acknowledges could be missing from all databases that the other queries before a promotion.
void checkGroupChanges(problems &found, const configuration_snapshot &current, const configuration_snapshot &next)
{
    for (const auto &[name, group] : current.groups) {
        const auto changed = next.groups.find(name);
        if (changed == next.groups.end()) {
            continue;
        }
        const std::string object = "database_group/" + name;
        if (namesOf(group) != namesOf(changed->second)) {
            add(found,
                problem_kind::unsafeChange,
                object,
                "databases",
                "cannot be added to or removed from an existing group; create a new group");
        }
        if (group.confirmReplicas != changed->second.confirmReplicas) {
            add(found, problem_kind::unsafeChange, object, "confirmReplicas", "cannot be changed on an existing group; create a new group");
        }
    }
}

/// Turns a missing reference into an inUse problem of its target where the change set removes the target.
void convertToInUse(problems &found, const change_set &changes)
{
    for (configuration_problem &problem : found) {
        const bool removed = std::ranges::find(changes.removed, problem.target) != changes.removed.end();
        if (problem.kind != problem_kind::missingReference || !removed) {
            continue;
        }
        problem.detail = problem.object + "." + problem.field + " refers to it";
        problem.kind = problem_kind::inUse;
        problem.object = toString(problem.target);
        problem.field = "name";
    }
}

} // namespace

bool isIpAndPort(std::string_view text)
{
    constexpr std::uint32_t maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos || !readNumber(text.substr(colon + 1), maxPort, port) || port == 0) {
        return false;
    }
    const std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        return isIpv6(host.substr(1, host.size() - 2));
    }
    return isIpv4(host);
}

std::string_view toString(problem_kind kind)
{
    switch (kind) {
    case problem_kind::missingReference:
        return "missing_reference";
    case problem_kind::emptyName:
        return "empty_name";
    case problem_kind::duplicateName:
        return "duplicate_name";
    case problem_kind::missingValue:
        return "missing_value";
    case problem_kind::limitOutOfRange:
        return "limit_out_of_range";
    case problem_kind::notEnoughDatabases:
        return "not_enough_databases";
    case problem_kind::badAddress:
        return "bad_address";
    case problem_kind::duplicateAddress:
        return "duplicate_address";
    case problem_kind::inUse:
        return "in_use";
    case problem_kind::unknownObject:
        return "unknown_object";
    case problem_kind::unsafeChange:
        return "unsafe_change";
    }
    return "invalid";
}

std::vector<configuration_problem> checkSnapshot(const configuration_snapshot &snapshot)
{
    problems found;
    checkNames(found, snapshot);
    checkGroups(found, snapshot);
    checkServices(found, snapshot);
    checkPolicies(found, snapshot);
    return found;
}

std::vector<configuration_problem> checkChanges(const configuration_snapshot &current, const change_set &changes)
{
    problems found;
    checkDuplicates(found, changes);
    for (const object_reference &removedObject : changes.removed) {
        if (!contains(current, removedObject)) {
            add(found, problem_kind::unknownObject, toString(removedObject), "name", "cannot be removed: it does not exist");
        }
    }
    const configuration_snapshot next = applyChanges(current, changes);
    checkGroupChanges(found, current, next);
    const problems rest = checkSnapshot(next);
    found.insert(found.end(), rest.begin(), rest.end());
    convertToInUse(found, changes);
    return found;
}

} // namespace mustardrouter
