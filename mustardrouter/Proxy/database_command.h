#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardrouter
{

/// Kind of a command that the instance sends to a database.
enum class command_kind : std::uint8_t {
    begin,
    beginRead,
    rollback,
    /// A client's read, write or commit; `text` is forwarded unchanged.
    forward,
    /// A client's prepared statement, by its name on this connection.
    execute,
    setValue,
    prepare,
    discard,
    status,
    /// Pauses replication on a replica until it is promoted, resumed or restarted.
    pause,
    resume,
    /// Makes a primary of a lower term a replica.
    stepDown,
};

/// One command to a database.
struct database_command {
    command_kind kind = command_kind::status;
    /// The client's id of the statement; empty for the instance's own commands.
    std::string id;
    /// The database refuses the command when its log lacks this entry.
    std::optional<log_entry> floor;
    std::string text;
    std::string name;
    std::string value;
    bool writes = false;
    /// For pause and stepDown: a term above the one of the primary that is concerned.
    term_number term;
};

} // namespace mustardrouter
