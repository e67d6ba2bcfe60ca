#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Proxy/database_status.h"
#include "mustardrouter/Proxy/reply_code.h"
#include "mustardrouter/Proxy/transaction_state.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A database's complete reply to one command.
struct database_reply {
    reply_code code = reply_code::done;
    std::vector<std::string> rows;
    /// Empty when the reply is not signed.
    std::string signature;
    std::string detail;
    transaction_state state = transaction_state::none;
    /// Last applied entry of its log.
    std::optional<log_entry> position;
    /// Present in the reply to a status command.
    std::optional<database_status> status;
};

} // namespace mustardrouter
