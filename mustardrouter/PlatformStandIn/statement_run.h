#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Record of a client's statement that a stand-in database ran.
struct statement_run {
    std::string id;
    /// As received; for EXECUTE, the part after the prepared statement's name.
    std::string text;
    /// For EXECUTE: access (READ or WRITE) and text of the prepared statement; otherwise empty.
    std::string statementText;
    bool executes = false;
    group_name group;
    database_name database;
    std::uint64_t connection = 0;
    /// Who connected, as told at the start of the connection.
    std::string caller;
    bool inTransaction = false;
    std::map<std::string, std::string> values;
    /// Number of commits applied when it ran, and the id of the last of them.
    std::size_t applied = 0;
    std::string lastCommit;
    std::vector<std::string> rows;
};

/// Callbacks of a stand-in database, called on the thread of its context.
struct database_observer {
    /// A client's statement was received; returns the work that it takes beyond the usual.
    std::function<duration(const std::string &id)> onReceived;
    /// A statement is about to run; returns the signature for its answer.
    std::function<std::string(const statement_run &)> onRun;
    /// A commit was appended to the primary's log.
    std::function<void(const group_name &, const std::string &id, std::size_t index)> onCommit;
    /// A commit was appended to the log of a primary that had been replaced; the log shares `sharedLength` commits with the new
    /// primary's.
    std::function<void(const group_name &, const std::string &id, std::size_t sharedLength)> onCommitOfReplaced;
    /// The database received something that the platform's protocol forbids.
    std::function<void(const std::string &)> onProtocolViolation;
};

} // namespace mustardrouter
