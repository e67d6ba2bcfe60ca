#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardrouter
{

/// What a caller declares a statement to be.
enum class statement_kind : std::uint8_t { read, write, begin, commit, rollback, lookup };

/// How fresh a read must be.
enum class read_rule : std::uint8_t {
    /// At least as new as the session's own writes and reads.
    session,
    /// At least as new as every write acknowledged before the read arrived.
    latest,
    /// No older than a stated age.
    age,
};

/// One statement as the decision modules see it. The SQL text is opaque.
struct statement {
    statement_kind kind = statement_kind::read;
    read_rule rule = read_rule::session;
    /// Greatest age of the data for read_rule::age.
    duration maxAge{};
    bool nonIdempotent = false;
    /// Scheduling class; a larger weight gets a larger share.
    std::uint32_t weight = 1;
    request_key key;
    session_name session;
    service_name service;
    /// Zero outside of a transaction.
    transaction_id transaction;
    /// Floor that the caller's token brought for this group.
    std::optional<log_entry> floor;
    /// Instant after which the caller no longer waits.
    time_point deadline;
    std::string sql;
    std::string traceParent;
};

} // namespace mustardrouter
