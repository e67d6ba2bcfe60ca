#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/outcome.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <optional>
#include <string>

namespace mustardrouter
{

/// Result of one statement.
struct statement_result {
    outcome kind = outcome::notRun;
    failure cause = failure::none;
    /// Human-readable explanation; never parsed.
    std::string detail;
    /// Rows as encoded by the database; the decision modules only pass them on.
    std::string rows;
    transaction_id transaction;
    /// Last log entry of the group that the session has now read or written.
    std::optional<log_entry> floor;
    /// Suggested delay before the caller retries; zero when there is none.
    duration retryAfter{};
    database_name database;
    bool fromReplica = false;
};

/// Result of a statement that did not run.
inline statement_result notRun(failure cause, std::string detail = {}, duration retryAfter = {})
{
    statement_result result;
    result.kind = outcome::notRun;
    result.cause = cause;
    result.detail = std::move(detail);
    result.retryAfter = retryAfter;
    return result;
}

/// Result of a statement whose effect is not known.
inline statement_result unknownOutcome(failure cause, std::string detail = {})
{
    statement_result result;
    result.kind = outcome::unknown;
    result.cause = cause;
    result.detail = std::move(detail);
    return result;
}

} // namespace mustardrouter
