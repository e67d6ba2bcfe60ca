#pragma once

#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// Outcome of a statement, in replies of databases to the instance and of the instance to its clients.
enum class reply_code : std::uint8_t {
    done,
    /// Up to tooManyConnections: nothing of the attempt was committed.
    busy,
    aborted,
    lagging,
    readOnly,
    misrouted,
    tooManyConnections,
    /// Up to failed: the statement may or may not have been committed.
    inDoubt,
    timedOut,
    failed,
    /// Up to tooLarge: the statement itself cannot be served.
    unknownStatement,
    unknownDatabase,
    malformed,
    tooLarge,
    /// The client's key is in no workspace. From a holder: its configuration does not know the caller, and it has run nothing. By
    /// itself not a promise that nothing ran.
    unauthorized,
    /// An unknown code: the statement may or may not have been committed.
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
                                          "unauthorized",
                                          "other"};
    return names[static_cast<std::size_t>(code)];
}

/// Whether a database that replies with this code has not run the statement.
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
