#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardrouter
{

/// What the instance sends to a database.
enum class command_kind : std::uint8_t {
    begin,
    beginRead,
    rollback,
    /// A client's read, write or commit; `text` goes unchanged.
    forward,
    /// A client's prepared statement, under the name that this link gave it.
    execute,
    setValue,
    prepare,
    discard,
    status,
    /// Stops a replica from receiving until it is promoted, resumed or started again.
    pause,
    resume,
};

/// One command to a database.
struct database_command {
    command_kind kind = command_kind::status;
    /// The client's id; empty for the instance's own commands.
    std::string id;
    /// The database refuses when its log lacks this entry.
    std::optional<log_entry> floor;
    std::string text;
    std::string name;
    std::string value;
    bool writes = false;
    /// For pause: a term above every known one.
    term_number term;
};

} // namespace mustardrouter
