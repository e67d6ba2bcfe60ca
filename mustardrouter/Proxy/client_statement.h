#pragma once

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// Kind of a client's statement.
enum class client_verb : std::uint8_t {
    begin,
    beginRead,
    commit,
    rollback,
    read,
    write,
    setValue,
    prepare,
    execute,
    deallocate,
    /// Clears session values and prepared statements. Sent by instances that relay statements, not by clients.
    discard,
    /// Asks for a reply only; sent by instances that relay statements.
    ping,
    malformed,
};

/// One decoded statement of a client.
struct client_statement {
    /// The client's id of this statement; forwarded unchanged.
    std::string id;
    client_verb verb = client_verb::malformed;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// Value to set, statement text to prepare, or arguments to execute with.
    std::string value;
    /// For prepare: whether the statement writes.
    bool writes = false;
    /// The text as received; reads, writes and commits are forwarded with exactly this text.
    std::string text;
};

} // namespace mustardrouter
