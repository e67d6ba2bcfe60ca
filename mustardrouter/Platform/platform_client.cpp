#include "mustardrouter/Platform/platform_client.h"

#include "mustardrouter/Platform/platform_codes.h"

namespace mustardrouter
{

namespace
{

failure failureOf(const json_rpc_answer &answer)
{
    if (answer.status == json_rpc_status::answered) {
        return failure::none;
    }
    const bool conflict = answer.status == json_rpc_status::refused && answer.code == static_cast<int>(platform_code::versionConflict);
    return conflict ? failure::versionConflict : failure::platformUnavailable;
}

platform_object toObject(const Json::Value &value)
{
    return {value["key"].asString(), value["value"].asString(), value["version"].asUInt64()};
}

std::vector<platform_object> toObjects(const Json::Value &values)
{
    std::vector<platform_object> objects;
    for (const Json::Value &value : values) {
        objects.push_back(toObject(value));
    }
    return objects;
}

Json::Value toJson(const platform_object &object)
{
    Json::Value value(Json::objectValue);
    value["key"] = object.key;
    value["value"] = object.value;
    value["version"] = Json::UInt64(object.version);
    return value;
}

} // namespace

platform_client::platform_client(const std::string &address, std::chrono::milliseconds timeout)
    : m_client(address, {})
    , m_timeout(timeout)
{
}

json_rpc_answer platform_client::call(const std::string &method, const Json::Value &parameters, std::chrono::milliseconds timeout)
{
    return m_client.call(method, parameters, timeout.count());
}

platform_answer<platform_object> platform_client::get(const std::string &key)
{
    Json::Value parameters(Json::objectValue);
    parameters["key"] = key;
    const json_rpc_answer answer = call("get", parameters, m_timeout);
    return {failureOf(answer), failureOf(answer) == failure::none ? toObject(answer.value) : platform_object{}};
}

platform_answer<std::uint64_t> platform_client::put(const platform_object &object)
{
    const json_rpc_answer answer = call("put", toJson(object), m_timeout);
    return {failureOf(answer), failureOf(answer) == failure::none ? answer.value["version"].asUInt64() : 0};
}

platform_answer<std::uint64_t> platform_client::remove(const platform_object &object)
{
    const json_rpc_answer answer = call("remove", toJson(object), m_timeout);
    return {failureOf(answer), failureOf(answer) == failure::none ? answer.value["version"].asUInt64() : 0};
}

platform_answer<std::vector<platform_object>> platform_client::list(const std::string &prefix)
{
    Json::Value parameters(Json::objectValue);
    parameters["prefix"] = prefix;
    const json_rpc_answer answer = call("list", parameters, m_timeout);
    return {failureOf(answer), toObjects(answer.value["objects"])};
}

platform_answer<std::vector<platform_object>> platform_client::watch(const std::string &prefix,
                                                                     std::uint64_t since,
                                                                     std::chrono::milliseconds maxWait)
{
    Json::Value parameters(Json::objectValue);
    parameters["prefix"] = prefix;
    parameters["since"] = Json::UInt64(since);
    parameters["patienceMs"] = Json::UInt64(maxWait.count());
    const json_rpc_answer answer = call("watch", parameters, maxWait + m_timeout);
    return {failureOf(answer), toObjects(answer.value["objects"])};
}

platform_answer<std::vector<instance_view>> platform_client::instances()
{
    const json_rpc_answer answer = call("instances", Json::Value(Json::objectValue), m_timeout);
    std::vector<instance_view> views;
    for (const Json::Value &value : answer.value["instances"]) {
        views.push_back({instance_name(value["name"].asString()),
                         value["address"].asString(),
                         value["place"].asString(),
                         value["incarnation"].asUInt64(),
                         value["leaving"].asBool()});
    }
    return {failureOf(answer), views};
}

failure platform_client::announce(const instance_view &self)
{
    Json::Value parameters(Json::objectValue);
    parameters["name"] = self.name.value();
    parameters["address"] = self.address;
    parameters["place"] = self.place;
    parameters["incarnation"] = Json::UInt64(self.incarnation);
    parameters["leaving"] = self.leaving;
    return failureOf(call("announce", parameters, m_timeout));
}

} // namespace mustardrouter
