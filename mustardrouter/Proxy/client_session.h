#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/client_statement.h"
#include "mustardrouter/Proxy/database_reply.h"
#include "mustardrouter/Proxy/own_commits.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/relayed_route.h"
#include "mustardrouter/Proxy/route_table.h"
#include "mustardrouter/Workspaces/caller_identity.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A statement that a client prepared under a name.
struct prepared_statement {
    bool writes = false;
    std::string statementText;
};

/// One run of a statement at a database.
struct statement_run {
    /// Connection that it was sent on; zero while it waits for one.
    database_connection_id connection;
    time_point sentAt{};
    /// From then on its reply is overdue.
    time_point replyDueAt{};
    /// Entry in the log of the connection's group that the replying database must have; none when a primary check takes its place.
    std::optional<log_entry> floor;
    bool needsPrimaryCheck = false;
    bool primaryCheckedAfter = false;
    bool primaryCheckedBefore = false;
    std::optional<database_reply> reply;
};

/// A read, write or commit that waits for a connection or for its reply. The members of its base are those of its latest run.
struct running_statement : statement_run {
    client_statement statement;
    bool writes = false;
    time_point arrivedAt{};
    time_point deadline{};
    /// For a read whose reply was overdue and which was sent to a second database: its run at the first one, which goes on.
    std::optional<statement_run> earlierRun;
    /// How often it was sent elsewhere because its reply was overdue.
    std::uint32_t overdueRuns = 0;
    /// Databases that refused or failed it; retries avoid them.
    std::vector<database_name> excludedDatabases;
    std::uint32_t attempts = 0;
    /// It was counted for the limit of its workspace.
    bool counted = false;
    /// Number of refusals by overloaded databases.
    std::uint32_t overloadRefusals = 0;
    /// Whether it was admitted to an overloaded database, and when.
    bool admitted = false;
    time_point admittedAt{};
    /// Earliest instant of the next attempt.
    time_point notBefore{};
    /// It has run, and its reply is held until the database is verified to have been the only primary.
    bool replyHeld = false;
};

/// Progress of a transaction at the database.
enum class transaction_phase : std::uint8_t { waitingForConnection, beginning, ready };

/// A client's open transaction.
struct client_transaction {
    route sessionRoute;
    /// The client's id of the statement that began it.
    std::string beginStatementId;
    /// The client began it as read-only.
    bool readOnly = false;
    /// Under which BEGIN was sent.
    workspace_name workspace;
    /// It was counted for the limit of its workspace.
    bool counted = false;
    bool wrote = false;
    time_point beganAt{};
    transaction_phase phase = transaction_phase::waitingForConnection;
    database_connection_id connection;
    std::vector<database_name> excludedDatabases;
    /// Entry in the log of the route's group that the database must have.
    std::optional<log_entry> floor;
    /// A reply that was delivered proved that the database was the only primary after the transaction began.
    bool primaryVerified = false;
    /// Statements sent so far.
    std::uint32_t statements = 0;
    /// Whether it was admitted at the primary, and the earliest instant of the next attempt.
    bool admitted = false;
    time_point notBefore{};
};

/// One client's connection.
struct client_session {
    session_id id;
    /// Database name that the client requested.
    std::string database;
    /// As the client gave it; not for relayed sessions.
    api_key key;
    /// Whose statements these are, as found when the last one was checked.
    caller_identity caller;
    /// For a relayed session: what the relaying instance says of the client of its current statement.
    caller_identity relayedCaller;
    bool accepted = false;
    /// Statements of another instance's clients, which that instance relays one at a time.
    bool relayed = false;
    /// For a relayed session: how the relaying instance serves its route; none from a build that does not say.
    std::optional<relayed_route> relayedRoute;
    /// Time that the relaying instance has left for the current statement.
    duration relayedTimeout{};
    time_point startedAt{};
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    transaction_state state = transaction_state::none;
    std::optional<client_transaction> transaction;
    std::optional<running_statement> current;
    std::deque<client_statement> queuedStatements;
    /// What was acknowledged to this session. For a relayed one: what the relaying instance says of the group of its current statement.
    own_commits ownCommits;
    time_point idleSince{};
    /// From this instant on the session is closed once it is idle; the epoch while the instance does not stop.
    time_point closeAt{};
    /// The client has not been told that its transaction has failed.
    bool failureUntold = false;
    /// Whether it is in the group's queue for connections.
    bool waiting = false;
    /// When the limit of its workspace last kept its statement waiting.
    time_point heldByLimitAt{};
};

} // namespace mustardrouter
