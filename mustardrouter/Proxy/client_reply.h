#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/reply_code.h"
#include "mustardrouter/Proxy/transaction_state.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// The complete reply to one statement of a client.
struct client_reply {
    reply_code code = reply_code::done;
    std::vector<std::string> rows;
    /// The database's signature; empty when the instance replied without a database.
    std::string signature;
    /// Explanation for people.
    std::string detail;
    /// Time after which the client should retry; zero for no advice.
    duration retryAfter{};
    transaction_state state = transaction_state::none;
    /// Log position of the database that replied.
    std::optional<log_entry> position;
};

} // namespace mustardrouter
