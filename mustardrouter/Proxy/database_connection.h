#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_command.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <deque>
#include <map>
#include <string>

namespace mustardrouter
{

/// State of a connection to a database.
enum class database_connection_state : std::uint8_t {
    opening,
    idle,
    /// Runs a statement or a probe, or waits for the replies to abandoned work.
    busy,
    /// Held by a session's transaction.
    held,
};

/// What an expected reply belongs to.
enum class reply_purpose : std::uint8_t {
    /// Session values and prepared statements that a statement needs.
    setup,
    /// BEGIN of a transaction that is begun and rolled back only to verify that the database is primary.
    primaryCheck,
    primaryCheckEnd,
    /// A client's statement.
    statement,
    /// Begins a client's transaction.
    begin,
    /// Rolls back a transaction that no session holds any more.
    cleanup,
    status,
};

/// One outstanding reply of a database.
struct expected_reply {
    reply_purpose purpose;
    time_point sentAt{};
    /// It belongs to a probe of the instance, which may have been sent behind a client's statement.
    bool ofProbe = false;
};

/// One connection to a database.
struct database_connection {
    database_connection_id id;
    database_name database;
    group_name group;
    /// Whose statements it carries for its whole life. Empty for those of callers without a workspace, and where it leads to a holder.
    workspace_name workspace;
    /// Leads to the holder of this name instead of to a database; a statement sent on it is relayed there.
    bool toHolder = false;
    database_connection_state state = database_connection_state::opening;
    /// Session that uses it; zero for none.
    session_id session;
    std::deque<expected_reply> expected;
    /// Session values and prepared statements (by access and statement text) as the database has them.
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::uint32_t nextPrepared = 1;
    /// The values and prepared statements at the database may differ from those above, for instance because a transaction was
    /// rolled back: they are discarded before the next use.
    bool valuesUncertain = false;
    /// A transaction may be open at the database.
    bool inTransaction = false;
    /// A transaction that was to end is still open at the database, as its reply tells; the connection is closed, which rolls it back.
    bool transactionLeftOpen = false;
    /// When the last successful primary check on this connection was sent.
    time_point primaryCheckedAt{};
    /// The client's statement that it last ran and that was given up before its reply, and when; for the log.
    std::string abandonedRequest;
    time_point abandonedAt{};
    time_point since{};
};

} // namespace mustardrouter
