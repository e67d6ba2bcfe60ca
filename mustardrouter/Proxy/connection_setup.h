#pragma once

#include "mustardrouter/Proxy/client_session.h"
#include "mustardrouter/Proxy/database_command.h"
#include "mustardrouter/Proxy/database_connection.h"

#include <vector>

namespace mustardrouter
{

/// Appends the commands after which the link has just the session's values.
void appendSessionValues(database_connection &connection, const client_session &session, std::vector<database_command> &commands);

/// Appends the commands after which the link knows the shape, and returns its name there.
std::string appendPrepare(database_connection &connection, const prepared_statement &statement, std::vector<database_command> &commands);

} // namespace mustardrouter
