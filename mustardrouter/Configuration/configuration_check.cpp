#include "mustardrouter/Configuration/configuration_check.h"

#include <set>

namespace mustardrouter
{

namespace
{

using problems = std::vector<configuration_problem>;

void add(problems &found, problem_kind kind, std::string object, std::string field, std::string detail)
{
    found.push_back({kind, std::move(object), std::move(field), std::move(detail)});
}

template<typename Map>
void requireReference(problems &found, const Map &objects, const std::string &name, const std::string &object, const std::string &field)
{
    if (!objects.contains(name)) {
        add(found, problem_kind::missingReference, object, field, "\"" + name + "\" does not exist");
    }
}

void checkDatabase(problems &found, const configuration_snapshot &snapshot, const std::string &object, const database &item)
{
    const std::string field = "databases[" + item.name.value() + "]";
    if (item.name.value().empty()) {
        add(found, problem_kind::emptyName, object, "databases", "a database has no name");
    }
    requireReference(found, snapshot.places, item.place, object, field + ".place");
    if (item.slots == 0 || item.connections == 0) {
        add(found, problem_kind::limitOutOfRange, object, field, "slots and connections must be at least 1");
    }
    if (item.slots > item.connections) {
        add(found, problem_kind::limitOutOfRange, object, field + ".slots", "more slots than connections");
    }
    if (item.address.find(':') == std::string::npos) {
        add(found, problem_kind::badAddress, object, field + ".address", "\"" + item.address + "\" is not IP:PORT");
    }
}

void checkGroups(problems &found, const configuration_snapshot &snapshot)
{
    std::set<database_name> names;
    for (const auto &[name, group] : snapshot.groups) {
        const std::string object = "database_group/" + name;
        if (group.databases.empty()) {
            add(found, problem_kind::missingValue, object, "databases", "a group needs a database");
        }
        if (group.confirmReplicas >= group.databases.size() && !group.databases.empty()) {
            add(found,
                problem_kind::notEnoughDatabases,
                object,
                "confirmReplicas",
                std::to_string(group.confirmReplicas) + " replicas cannot confirm in a group of " + std::to_string(group.databases.size()));
        }
        for (const database &item : group.databases) {
            checkDatabase(found, snapshot, object, item);
            if (!names.insert(item.name).second) {
                add(found, problem_kind::duplicateName, object, "databases", "database \"" + item.name.value() + "\" is named twice");
            }
        }
    }
}

void checkServices(problems &found, const configuration_snapshot &snapshot)
{
    for (const auto &[name, item] : snapshot.services) {
        const std::string object = "service/" + name;
        if (item.groups.empty()) {
            add(found, problem_kind::missingValue, object, "groups", "a service needs a database group");
        }
        for (const std::string &group : item.groups) {
            requireReference(found, snapshot.groups, group, object, "groups");
        }
        requireReference(found, snapshot.policies, item.sessionPolicy, object, "sessionPolicy");
        if (item.retryBudget < 0 || item.retryBudget > 1) {
            add(found, problem_kind::limitOutOfRange, object, "retryBudget", "must be between 0 and 1");
        }
    }
}

void checkPolicies(problems &found, const configuration_snapshot &snapshot)
{
    for (const auto &[name, item] : snapshot.policies) {
        const std::string object = "session_policy/" + name;
        requireReference(found, snapshot.readRules, item.readRule, object, "readRule");
        if (item.weight == 0) {
            add(found, problem_kind::limitOutOfRange, object, "weight", "must be at least 1");
        }
        if (item.deadline <= duration::zero()) {
            add(found, problem_kind::limitOutOfRange, object, "deadlineMs", "must be at least 1");
        }
    }
    for (const auto &[name, item] : snapshot.readRules) {
        if (item.rule == read_rule::age && item.maxAge <= duration::zero()) {
            add(found, problem_kind::limitOutOfRange, "read_rule/" + name, "maxAgeMs", "must be at least 1");
        }
    }
}

} // namespace

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
    }
    return "invalid";
}

std::vector<configuration_problem> checkSnapshot(const configuration_snapshot &snapshot)
{
    problems found;
    checkGroups(found, snapshot);
    checkServices(found, snapshot);
    checkPolicies(found, snapshot);
    return found;
}

} // namespace mustardrouter
