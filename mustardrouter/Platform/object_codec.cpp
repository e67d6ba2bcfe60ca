#include "mustardrouter/Platform/object_codec.h"

#include <chrono>

namespace mustardrouter
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint64_t toMilliseconds(duration span)
{
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(span).count());
}

result_of<configuration_object> readService(const objects::service &message)
{
    service object;
    object.name = message.name();
    object.groups.assign(message.groups().begin(), message.groups().end());
    object.sessionPolicy = message.session_policy();
    object.retryBudget = message.retry_budget();
    object.callers.assign(message.callers().begin(), message.callers().end());
    return configuration_object(std::move(object));
}

result_of<configuration_object> readGroup(const objects::database_group &message)
{
    database_group object;
    object.name = message.name();
    object.confirmReplicas = message.confirm_replicas();
    for (const objects::database &item : message.databases()) {
        object.databases.push_back(
            {database_name(item.name()), item.place(), item.address(), item.slots(), item.connections(), item.connection_cost_ms()});
    }
    return configuration_object(std::move(object));
}

result_of<configuration_object> readRule(const objects::read_rule &message)
{
    named_read_rule object;
    object.name = message.name();
    object.maxAge = milliseconds(message.max_age_ms());
    if (message.kind() == "session") {
        object.rule = read_rule::session;
    } else if (message.kind() == "latest") {
        object.rule = read_rule::latest;
    } else if (message.kind() == "age") {
        object.rule = read_rule::age;
    } else {
        return fail(failure::invalidConfiguration,
                    "read_rule/" + message.name() + ": kind: \"" + message.kind() + "\" is not one of session, latest, age");
    }
    return configuration_object(std::move(object));
}

result_of<configuration_object> readPolicy(const objects::session_policy &message)
{
    session_policy object;
    object.name = message.name();
    object.readRule = message.read_rule();
    object.weight = message.weight();
    object.deadline = milliseconds(message.deadline_ms());
    object.idleInTransactionTimeout = milliseconds(message.idle_in_transaction_ms());
    return configuration_object(std::move(object));
}

const char *ruleName(read_rule rule)
{
    switch (rule) {
    case read_rule::session:
        return "session";
    case read_rule::latest:
        return "latest";
    case read_rule::age:
        return "age";
    }
    return "";
}

struct schema_writer {
    objects::configuration_object &message;

    void operator()(const place &object) const
    {
        message.mutable_place()->set_name(object.name);
        message.mutable_place()->set_region(object.region);
    }

    void operator()(const service &object) const
    {
        objects::service &to = *message.mutable_service();
        to.set_name(object.name);
        for (const std::string &group : object.groups) {
            to.add_groups(group);
        }
        to.set_session_policy(object.sessionPolicy);
        to.set_retry_budget(object.retryBudget);
        for (const std::string &caller : object.callers) {
            to.add_callers(caller);
        }
    }

    void operator()(const database_group &object) const
    {
        objects::database_group &to = *message.mutable_database_group();
        to.set_name(object.name);
        to.set_confirm_replicas(object.confirmReplicas);
        for (const database &item : object.databases) {
            objects::database &copy = *to.add_databases();
            copy.set_name(item.name.value());
            copy.set_place(item.place);
            copy.set_address(item.address);
            copy.set_slots(item.slots);
            copy.set_connections(item.connections);
            copy.set_connection_cost_ms(item.connectionCostMs);
        }
    }

    void operator()(const named_read_rule &object) const
    {
        objects::read_rule &to = *message.mutable_read_rule();
        to.set_name(object.name);
        to.set_kind(ruleName(object.rule));
        to.set_max_age_ms(toMilliseconds(object.maxAge));
    }

    void operator()(const session_policy &object) const
    {
        objects::session_policy &to = *message.mutable_session_policy();
        to.set_name(object.name);
        to.set_read_rule(object.readRule);
        to.set_weight(object.weight);
        to.set_deadline_ms(toMilliseconds(object.deadline));
        to.set_idle_in_transaction_ms(toMilliseconds(object.idleInTransactionTimeout));
    }
};

} // namespace

result_of<configuration_object> fromSchema(const objects::configuration_object &message)
{
    switch (message.object_case()) {
    case objects::configuration_object::kPlace:
        return configuration_object(place{message.place().name(), message.place().region()});
    case objects::configuration_object::kService:
        return readService(message.service());
    case objects::configuration_object::kDatabaseGroup:
        return readGroup(message.database_group());
    case objects::configuration_object::kReadRule:
        return readRule(message.read_rule());
    case objects::configuration_object::kSessionPolicy:
        return readPolicy(message.session_policy());
    case objects::configuration_object::OBJECT_NOT_SET:
        break;
    }
    return fail(failure::invalidConfiguration, "an object has no kind");
}

objects::configuration_object toSchema(const configuration_object &object)
{
    objects::configuration_object message;
    std::visit(schema_writer{message}, object);
    return message;
}

result_of<change_set> fromSchema(const objects::configuration_revision &message)
{
    change_set changes;
    for (const objects::configuration_object &item : message.changed()) {
        BOOST_LEAF_AUTO(object, fromSchema(item));
        changes.changed.push_back(std::move(object));
    }
    for (const objects::object_name &removedObject : message.removed()) {
        changes.removed.push_back({removedObject.kind(), removedObject.name()});
    }
    return changes;
}

void toSchema(const change_set &changes, objects::configuration_revision &message)
{
    for (const configuration_object &object : changes.changed) {
        *message.add_changed() = toSchema(object);
    }
    for (const object_reference &removedObject : changes.removed) {
        objects::object_name &name = *message.add_removed();
        name.set_kind(removedObject.kind);
        name.set_name(removedObject.name);
    }
}

ownership_record fromSchema(const objects::ownership_record &message, std::uint64_t version)
{
    ownership_record record;
    record.version = version;
    for (const objects::term_range &range : message.ranges()) {
        record.ranges.push_back({instance_name(range.holder()), range.address(), term_number(range.first()), term_number(range.last())});
    }
    return record;
}

objects::ownership_record toSchema(const ownership_record &record, const group_name &group)
{
    objects::ownership_record message;
    message.set_group(group.value());
    for (const term_range &range : record.ranges) {
        objects::term_range &copy = *message.add_ranges();
        copy.set_holder(range.holder.value());
        copy.set_address(range.address);
        copy.set_first(range.first.value());
        copy.set_last(range.last.value());
    }
    return message;
}

} // namespace mustardrouter
