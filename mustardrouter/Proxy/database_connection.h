#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_command.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <deque>
#include <map>
#include <string>

namespace mustardrouter
{

/// What a connection to a database is doing.
enum class database_connection_state : std::uint8_t {
    opening,
    idle,
    /// Runs a statement, a question of the instance's own, or the end of something abandoned.
    busy,
    /// Held by a session's transaction.
    held,
};

/// What an answer on a connection belongs to.
enum class reply_purpose : std::uint8_t {
    /// Session values and prepared statements that a statement needs.
    setup,
    /// A transaction begun and ended only to see that the database leads.
    primaryCheck,
    primaryCheckEnd,
    /// The client's statement.
    statement,
    /// Begins a client's transaction.
    begin,
    /// Ends a transaction that nobody holds any more.
    cleanup,
    status,
};

/// One answer that a database owes.
struct expected_reply {
    reply_purpose purpose;
    time_point sentAt{};
};

/// One connection to a database.
struct database_connection {
    database_connection_id id;
    database_name database;
    group_name group;
    database_connection_state state = database_connection_state::opening;
    /// Session that it serves; zero when none.
    session_id session;
    std::deque<expected_reply> expected;
    /// Session values and prepared statements (by access and shape) as the database has them.
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::uint32_t nextPrepared = 1;
    /// Values may have changed inside a transaction that was rolled back.
    bool valuesUncertain = false;
    /// A transaction may be open at the database.
    bool inTransaction = false;
    /// Last proof of the lead that was sent on this link and answered.
    time_point primaryCheckedAt{};
    time_point since{};
};

} // namespace mustardrouter
