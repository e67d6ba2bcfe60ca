#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardrouter
{

/// Kind of a statement, as declared by the caller.
enum class statement_kind : std::uint8_t { read, write, begin, commit, rollback, lookup };

/// Freshness that a read requires.
enum class read_rule : std::uint8_t {
    /// At least as new as the session's own writes and reads.
    session,
    /// At least as new as every write acknowledged before the read arrived.
    latest,
    /// No older than `statement::maxAge`.
    age,
};

/// A statement as seen by the decision modules, which do not parse its SQL text.
struct statement {
    statement_kind kind = statement_kind::read;
    read_rule rule = read_rule::session;
    /// Maximum age of the data for read_rule::age.
    duration maxAge{};
    bool nonIdempotent = false;
    /// Scheduling weight of the statement's class; a larger weight gets a larger share.
    std::uint32_t weight = 1;
    request_key key;
    session_name session;
    service_name service;
    /// Zero outside of a transaction.
    transaction_id transaction;
    /// Floor for this group from the caller's session token.
    std::optional<log_entry> floor;
    /// Instant after which the caller no longer waits.
    time_point deadline;
    std::string sql;
    std::string traceParent;
};

} // namespace mustardrouter
