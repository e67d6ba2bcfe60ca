#pragma once

#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// One request as its caller saw it.
struct recorded_request {
    std::uint64_t number = 0;
    std::size_t session = 0;
    statement_kind kind = statement_kind::read;
    read_rule rule = read_rule::session;
    duration maxAge{};
    /// Row that a write adds; for a commit, nothing.
    std::string row;
    request_key key;
    /// Number of the transaction among the session's; zero outside of one.
    std::uint64_t transaction = 0;
    std::string tag;
    time_point sentAt{};
    time_point answeredAt{};
    /// False while no answer came, for whatever reason.
    bool answered = false;
    statement_result result;
};

/// A transaction of several rows as its caller saw it.
struct recorded_transaction {
    std::uint64_t number = 0;
    /// Rows whose writes were answered as done.
    std::vector<std::string> rows;
    /// Every write in it was answered as done.
    bool allWritesDone = true;
};

/// All that callers saw in one history.
struct recorded_history {
    std::vector<recorded_request> requests;
    std::vector<recorded_transaction> transactions;
    /// Broken promises that were seen while it ran.
    std::vector<std::string> violations;
};

} // namespace mustardrouter::histories
