#pragma once

#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// A request and its answer as observed by the caller.
struct recorded_request {
    std::uint64_t number = 0;
    std::size_t session = 0;
    statement_kind kind = statement_kind::read;
    read_rule rule = read_rule::session;
    duration maxAge{};
    /// Row that a write adds; empty for other statements.
    std::string row;
    request_key key;
    /// Number of the transaction in the history; zero outside of a transaction.
    std::uint64_t transaction = 0;
    std::string tag;
    time_point sentAt{};
    time_point answeredAt{};
    /// False as long as no answer was received, for any reason.
    bool answered = false;
    statement_result result;
};

/// A transaction of several rows as observed by the caller.
struct recorded_transaction {
    std::uint64_t number = 0;
    /// Rows that the transaction tried to write.
    std::vector<std::string> rows;
    /// Every write that was answered was done.
    bool allWritesDone = true;
};

/// Everything that callers observed in one history.
struct recorded_history {
    std::vector<recorded_request> requests;
    std::vector<recorded_transaction> transactions;
    /// Violations of guarantees detected while the history ran.
    std::vector<std::string> violations;
};

} // namespace mustardrouter::histories
