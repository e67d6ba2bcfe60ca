#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/client_statement.h"
#include "mustardrouter/Proxy/database_reply.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/route_table.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// What a client prepared under a name.
struct prepared_statement {
    bool writes = false;
    std::string statementText;
};

/// A read, write or commit on its way.
struct running_statement {
    client_statement statement;
    bool writes = false;
    time_point arrivedAt{};
    time_point deadline{};
    /// Link that runs it; zero while it waits.
    database_connection_id connection;
    time_point sentAt{};
    /// Databases that refused or failed it.
    std::vector<database_name> excludedDatabases;
    /// Entry that the answering database must have; none when the lead is proved instead.
    std::optional<log_entry> floor;
    bool needsPrimaryCheck = false;
    bool primaryCheckedAfter = false;
    bool primaryCheckedBefore = false;
    std::optional<database_reply> reply;
    std::uint32_t attempts = 0;
    /// How often a database had no room for it.
    std::uint32_t overloadRefusals = 0;
    /// It was let in at the primary, and when.
    bool admitted = false;
    time_point admittedAt{};
    /// Not tried again before.
    time_point notBefore{};
};

/// How far a transaction is.
enum class transaction_phase : std::uint8_t { waitingForConnection, beginning, ready };

/// A client's open transaction.
struct client_transaction {
    route rules;
    /// The client's name of the statement that began it.
    std::string beginStatementId;
    /// The client began it for reading only.
    bool readOnly = false;
    bool wrote = false;
    time_point beganAt{};
    transaction_phase phase = transaction_phase::waitingForConnection;
    database_connection_id connection;
    std::vector<database_name> excludedDatabases;
    std::optional<log_entry> floor;
    /// Statements sent so far.
    std::uint32_t statements = 0;
    /// It was let in at the primary; not tried again before.
    bool admitted = false;
    time_point notBefore{};
};

/// One client's connection.
struct client_session {
    session_id id;
    /// Name of the database that the client asked for.
    std::string database;
    bool accepted = false;
    time_point startedAt{};
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    transaction_state state = transaction_state::none;
    std::optional<client_transaction> transaction;
    std::optional<running_statement> current;
    std::deque<client_statement> queuedStatements;
    /// Entry that holds all commits acknowledged to this session.
    std::optional<log_entry> ownCommits;
    time_point idleSince{};
    /// Closed when it rests, from this instant on.
    time_point closeAt{};
    /// In the group's waiting list.
    bool waiting = false;
};

} // namespace mustardrouter
