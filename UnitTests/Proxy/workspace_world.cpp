#include "UnitTests/Proxy/proxy_world.h"

#include <sstream>

/// The part of the simulation that knows workspaces: databases are told at the start of a connection whose statements follow.
namespace mustardrouter
{

void proxy_world::setWorkspaces(const std::vector<std::string> &all)
{
    workspaces = {};
    workspaces.enabled = true;
    for (const std::string &text : all) {
        std::istringstream words(text);
        workspace added;
        std::string word;
        words >> word;
        added.name = workspace_name(word);
        std::vector<api_key> keys;
        while (words >> word) {
            keys.emplace_back(word);
        }
        addWorkspace(workspaces, added, keys);
    }
}

void proxy_world::observeCallers(const proxy_engine &from, const proxy_action &action)
{
    const auto *opened = std::get_if<open_database_connection>(&action);
    if (opened != nullptr && !opened->toHolder) {
        workspaceByConnection[opened->connection] = opened->workspace;
    } else if (const auto *sent = std::get_if<send_commands>(&action)) {
        checkCallers(from, *sent);
    }
}

void proxy_world::checkCallers(const proxy_engine &from, const send_commands &sent)
{
    const bool toDatabase = workspaceByConnection.contains(sent.connection);
    for (const database_command &command : sent.commands) {
        const auto sender = m_senders.find(command.id);
        if (sender == m_senders.end()) {
            continue;
        }
        const fake_client &client = clients.at(sender->second);
        const auto route = from.routes.routes.find(client.database);
        const bool isPublic = route != from.routes.routes.end() && route->second.isPublic;
        const std::optional<workspace_name> allowed = workspaceOf(from.routes.workspaces, client.key, isPublic);
        if (!allowed) {
            violations.emplace_back("ROUTE: " + command.id + " of an unknown key was sent by " + from.settings.instance);
        } else if (toDatabase && workspaceByConnection.at(sent.connection) != *allowed) {
            violations.emplace_back("UNASKED: " + command.id + " of '" + allowed->value() + "' was sent on a connection of '"
                                    + workspaceByConnection.at(sent.connection).value() + "'");
        }
    }
}

} // namespace mustardrouter
