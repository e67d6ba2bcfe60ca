#include "mustardrouter/Proxy/connection_setup.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

bool hasValueUnknownToSession(const database_connection &connection, const client_session &session)
{
    return std::ranges::any_of(connection.values, [&](const auto &value) {
        return !session.values.contains(value.first);
    });
}

} // namespace

void appendSessionValues(database_connection &connection, const client_session &session, std::vector<database_command> &commands)
{
    if (!connection.valuesUncertain && connection.values == session.values) {
        return;
    }
    if (connection.valuesUncertain || hasValueUnknownToSession(connection, session)) {
        database_command discard;
        discard.kind = command_kind::discard;
        commands.push_back(discard);
        connection.values.clear();
        connection.prepared.clear();
        connection.valuesUncertain = false;
    }
    for (const auto &[name, value] : session.values) {
        const auto known = connection.values.find(name);
        if (known != connection.values.end() && known->second == value) {
            continue;
        }
        database_command set;
        set.kind = command_kind::setValue;
        set.name = name;
        set.value = value;
        commands.push_back(set);
        connection.values[name] = value;
    }
}

std::string appendPrepare(database_connection &connection, const prepared_statement &statement, std::vector<database_command> &commands)
{
    const std::string key = (statement.writes ? "w " : "r ") + statement.statementText;
    const auto known = connection.prepared.find(key);
    if (known != connection.prepared.end()) {
        return known->second;
    }
    database_command prepare;
    prepare.kind = command_kind::prepare;
    prepare.name = "m" + std::to_string(connection.nextPrepared++);
    prepare.writes = statement.writes;
    prepare.value = statement.statementText;
    commands.push_back(prepare);
    connection.prepared[key] = prepare.name;
    return prepare.name;
}

} // namespace mustardrouter
