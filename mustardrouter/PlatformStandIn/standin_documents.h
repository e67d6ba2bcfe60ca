#pragma once

#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/Proxy/route_table.h"

#include <json/json.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What a stand-in database says of itself in the store.
Json::Value entryOf(const standin_group &group, const standin_member &member);

/// What the operator writes as the configuration: routes by name, and the groups.
Json::Value configurationOf(std::uint64_t version,
                            const std::map<std::string, route> &routes,
                            const std::vector<std::unique_ptr<standin_group>> &groups);

/// The settings file of an instance on loopback.
struct standin_settings {
    std::string name;
    std::string dataCentre;
    std::string clientAddress;
    std::string readinessAddress;
    /// Of the store and of orders.
    std::string storeAddress;
    std::vector<std::string> dataCentres;
    bool isFirstSystemStart = false;
    unsigned graceSeconds = 6;
    /// A field that instances don't know.
    unsigned note = 0;
};
std::string settingsText(const standin_settings &settings);

} // namespace mustardrouter
