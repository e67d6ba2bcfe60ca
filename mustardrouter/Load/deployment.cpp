#include "mustardrouter/Load/deployment.h"

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

const std::vector<std::string> &demoTables()
{
    static const std::vector<std::string> tables{
        "CREATE TABLE items(id TEXT, owner TEXT, body TEXT)",
        "CREATE INDEX items_by_id ON items(id)",
        "CREATE TABLE pairs(transaction_id TEXT, owner TEXT, part INTEGER)",
    };
    return tables;
}

deployment kovacik()
{
    deployment result;
    result.name = "kovacik";
    result.service = "scripts";
    result.places = {"bratislava", "kosice", "zilina"};
    result.region = "slovakia";
    result.slots = 3;
    result.connections = 45;
    result.connectionCost = 10ms;
    result.dataCentreDelay = 1500us;
    result.callerDelay = 3000us;
    result.tables = demoTables();
    return result;
}

deployment graniteNotch()
{
    deployment result;
    result.name = "granite-notch";
    result.service = "booking-core";
    result.places = {"vermont-north", "white-mountains", "maine-west"};
    result.region = "new-england";
    result.slots = 5;
    result.connections = 140;
    result.connectionCost = 30ms;
    result.dataCentreDelay = 1500us;
    result.callerDelay = 1000us;
    result.tables = demoTables();
    return result;
}

} // namespace

std::optional<deployment> findDeployment(const std::string &name)
{
    if (name == "kovacik") {
        return kovacik();
    }
    if (name == "granite-notch") {
        return graniteNotch();
    }
    return std::nullopt;
}

std::string groupNameOf(const deployment &of, std::size_t group)
{
    return of.service + "-" + std::to_string(group + 1);
}

objects::database_settings databaseSettings(const deployment &of, std::size_t group, std::size_t index)
{
    objects::database_settings settings;
    settings.set_name(groupNameOf(of, group) + "-" + of.places[index % of.places.size()]);
    settings.set_address("127.0.0.1:0");
    settings.set_slots(of.slots);
    settings.set_connections(of.connections);
    settings.set_connection_cost_us(static_cast<std::uint64_t>(std::chrono::microseconds(of.connectionCost).count()));
    settings.set_service_time_us(static_cast<std::uint64_t>(of.serviceTime.count()));
    settings.set_network_delay_us(static_cast<std::uint64_t>(of.dataCentreDelay.count()));
    settings.set_replication_delay_us(static_cast<std::uint64_t>(of.replicationDelay.count()));
    settings.set_apply_lag_us(static_cast<std::uint64_t>(of.applyLag.count()));
    for (const std::string &sql : of.tables) {
        settings.add_initial_statements(sql);
    }
    return settings;
}

} // namespace mustardrouter
