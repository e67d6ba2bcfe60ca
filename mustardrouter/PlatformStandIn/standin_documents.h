#pragma once

#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/PlatformStandIn/standin_workspace.h"
#include "mustardrouter/Proxy/route_table.h"

#include <json/json.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Store entry that a stand-in database publishes about itself.
Json::Value entryOf(const standin_group &group, const standin_member &member);

/// Configuration as an operator writes it: routes by name, and the database groups.
Json::Value configurationOf(std::uint64_t version,
                            const std::map<std::string, route> &routes,
                            const std::vector<std::unique_ptr<standin_group>> &groups);
/// Adds workspaces to a configuration, and says for each of its routes whether it is public.
void addWorkspaces(Json::Value &configuration, const std::vector<standin_workspace> &workspaces, const std::set<std::string> &publicRoutes);

/// Content of the settings file of an instance on loopback.
struct standin_settings {
    std::string name;
    std::string dataCentre;
    std::string clientAddress;
    std::string readinessAddress;
    /// Address of the store, which takes promotion orders too.
    std::string storeAddress;
    std::vector<std::string> dataCentres;
    bool isFirstSystemStart = false;
    unsigned graceSeconds = 6;
    /// Port at which the instance takes relayed statements.
    unsigned relayPort = 0;
    /// Where a data centre has fewer instances, each asks the store itself.
    unsigned feedMinInstances = 0;
    /// Rate of the instance's link; 0: not written.
    double linkMegabits = 0;
    /// The platform checks the fences of promotion orders, and replaced primaries step down at once.
    bool promotionsAreFenced = true;
    /// The bounds of limits are written.
    bool hasWorkspaces = false;
    /// Written as a field that instances don't know.
    unsigned note = 0;
};
std::string settingsText(const standin_settings &settings);

} // namespace mustardrouter
