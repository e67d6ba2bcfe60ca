#pragma once

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// What a client's statement asks for.
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
    malformed,
};

/// One statement of a client, decoded once.
struct client_statement {
    /// The client's name of this statement; passed on unchanged.
    std::string id;
    client_verb verb = client_verb::malformed;
    /// Name of the session value or of the prepared statement.
    std::string name;
    /// Value to set, shape to prepare, or arguments to execute with.
    std::string value;
    /// For prepare: whether the shape writes.
    bool writes = false;
    /// The text as it came; reads, writes and commits are passed on with just this.
    std::string text;
};

} // namespace mustardrouter
