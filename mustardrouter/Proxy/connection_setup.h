#pragma once

#include "mustardrouter/Proxy/client_session.h"
#include "mustardrouter/Proxy/database_command.h"
#include "mustardrouter/Proxy/database_connection.h"

#include <vector>

namespace mustardrouter
{

/// Appends the commands that give the connection exactly the session's values.
void appendSessionValues(database_connection &connection, const client_session &session, std::vector<database_command> &commands);

/// Appends the command that prepares the statement on the connection unless it is prepared already, and returns its
/// name there.
std::string appendPrepare(database_connection &connection, const prepared_statement &statement, std::vector<database_command> &commands);

} // namespace mustardrouter
