#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A client's statement as a stand-in database ran it.
struct statement_run {
    std::string id;
    /// As it came; for a prepared one without its name.
    std::string text;
    /// Access and shape under the prepared name; empty when it was not prepared.
    std::string statementText;
    bool executes = false;
    group_name group;
    database_name database;
    std::uint64_t connection = 0;
    bool inTransaction = false;
    std::map<std::string, std::string> values;
    /// How many commits the log held, and the last of them.
    std::size_t applied = 0;
    std::string lastCommit;
    std::vector<std::string> rows;
};

/// What a stand-in database tells of its work; all are called on the thread of its sockets.
struct database_observer {
    /// A statement is about to run; gives the signature of its answer.
    std::function<std::string(const statement_run &)> onRun;
    /// A commit was added to the primary's log.
    std::function<void(const group_name &, const std::string &id, std::size_t index)> onCommit;
    /// Something came that the platform forbids.
    std::function<void(const std::string &)> onProtocolViolation;
};

} // namespace mustardrouter
