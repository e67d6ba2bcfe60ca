#include "mustardrouter/PlatformStandIn/standin_documents.h"

namespace mustardrouter
{

namespace
{

const char *typeOf(read_rule rule)
{
    switch (rule) {
    case read_rule::latest:
        return "primary";
    case read_rule::age:
        return "bounded_staleness";
    case read_rule::session:
        return "read_your_writes";
    }
    return "";
}

Json::Int64 inMillis(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

Json::Value entryOf(const standin_group &group, const standin_member &member)
{
    Json::Value entry;
    entry["service"] = group.name.value();
    entry["address"] = member.address;
    entry["zone"] = member.dataCentre;
    entry["version"] = "1";
    entry["slots"] = group.slots;
    entry["state"] = member.leaving ? "draining" : "ready";
    entry["warmup_left_ms"] = 0;
    entry["sequence"] = Json::UInt64(member.sequence);
    entry["db_role"] = member.primary ? "primary" : "replica";
    entry["born"] = Json::UInt64(member.incarnation);
    return entry;
}

Json::Value configurationOf(std::uint64_t version,
                            const std::map<std::string, route> &routes,
                            const std::vector<std::unique_ptr<standin_group>> &groups)
{
    Json::Value root;
    root["version"] = Json::UInt64(version);
    for (const auto &[name, sessionRoute] : routes) {
        Json::Value item;
        item["name"] = "r-" + name;
        item["host"] = name;
        item["type"] = typeOf(sessionRoute.rule);
        item["service"] = sessionRoute.group.value();
        item["timeout_ms"] = inMillis(sessionRoute.timeout);
        item["target_latency_ms"] = inMillis(sessionRoute.latencyTarget);
        item["priority"] = sessionRoute.priority;
        if (sessionRoute.rule != read_rule::latest) {
            item["max_staleness_ms"] = inMillis(sessionRoute.maxAge);
        }
        root["routes"].append(item);
    }
    for (const auto &group : groups) {
        Json::Value item;
        item["name"] = group->name.value();
        item["max_conns"] = group->connections;
        item["sync_replicas"] = group->syncReplicas;
        root["services"].append(item);
    }
    root["limits"]["tx_idle_ms"] = 3000;
    return root;
}

void addWorkspaces(Json::Value &configuration, const std::vector<standin_workspace> &workspaces, const std::set<std::string> &publicRoutes)
{
    for (Json::Value &item : configuration["routes"]) {
        item["public"] = publicRoutes.contains(item["host"].asString());
    }
    Json::Value &all = configuration["tenants"] = Json::arrayValue;
    for (const standin_workspace &one : workspaces) {
        Json::Value item;
        item["name"] = one.name;
        item["api_keys"] = Json::arrayValue;
        for (const std::string &key : one.keys) {
            item["api_keys"].append(key);
        }
        item["priority"] = one.priority;
        if (one.operationsPerSecond != 0) {
            item["rate_per_s"] = one.operationsPerSecond;
            item["burst"] = one.burst;
        }
        all.append(item);
    }
}

std::string settingsText(const standin_settings &settings)
{
    Json::Value root;
    root["node_name"] = settings.name;
    root["role"] = "edge";
    root["ip"] = "127.0.0.1";
    root["zone"] = settings.dataCentre;
    for (const std::string &place : settings.dataCentres) {
        root["zones"][place] = "region-of-" + place;
    }
    root["bind_addrs"]["frontend"] = settings.clientAddress;
    root["bind_addrs"]["readiness"] = settings.readinessAddress;
    // The instance takes relayed statements at the second of the ports.
    root["internal_ports"].append(settings.relayPort - 1);
    root["internal_ports"].append(settings.relayPort);
    root["bootstrap"] = settings.isFirstSystemStart;
    root["bounds"]["grace_s"] = settings.graceSeconds;
    root["bounds"]["require_fencing"] = settings.promotionsAreFenced;
    if (settings.hasWorkspaces) {
        root["bounds"]["quota_window_s"] = 5;
        root["bounds"]["quota_overrun"] = 0.1;
        root["bounds"]["quota_slack"] = 20;
    }
    root["platform"]["address"] = settings.storeAddress;
    root["provider_api"]["address"] = settings.storeAddress;
    root["change_feed_min_instances"] = settings.feedMinInstances;
    if (settings.linkMegabits > 0) {
        root["limits"]["link_mbps"] = settings.linkMegabits;
    }
    root["note"] = settings.note;
    return root.toStyledString();
}

} // namespace mustardrouter
