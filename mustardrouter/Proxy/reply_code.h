#pragma once

#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// How a statement ended, as databases say it to the instance and the instance to its clients.
enum class reply_code : std::uint8_t {
    done,
    /// Promises that nothing of the attempt is kept.
    busy,
    aborted,
    lagging,
    readOnly,
    misrouted,
    tooManyConnections,
    /// Promise nothing.
    inDoubt,
    timedOut,
    failed,
    /// The statement as it stands can't be served.
    unknownStatement,
    unknownDatabase,
    malformed,
    tooLarge,
    /// A code that is not known here; promises nothing.
    other,
};

/// Name of a code for logs and metrics.
constexpr std::string_view toString(reply_code code)
{
    constexpr std::string_view names[] = {"done",
                                          "busy",
                                          "aborted",
                                          "lagging",
                                          "read_only",
                                          "misrouted",
                                          "too_many_connections",
                                          "in_doubt",
                                          "timed_out",
                                          "failed",
                                          "unknown_statement",
                                          "unknown_database",
                                          "malformed",
                                          "too_large",
                                          "other"};
    return names[static_cast<std::size_t>(code)];
}

/// Whether a database that answers so has not run the statement.
constexpr bool impliesNotRun(reply_code code)
{
    switch (code) {
    case reply_code::busy:
    case reply_code::lagging:
    case reply_code::readOnly:
    case reply_code::misrouted:
    case reply_code::tooManyConnections:
    case reply_code::unknownStatement:
        return true;
    default:
        return false;
    }
}

} // namespace mustardrouter
