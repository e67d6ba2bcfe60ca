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

/// The answer to one statement.
struct statement_result {
    outcome kind = outcome::notRun;
    failure cause = failure::none;
    /// Explanation for people, never parsed.
    std::string detail;
    /// Rows as encoded by the database; the decision modules only pass them on.
    std::string rows;
    transaction_id transaction;
    /// Entry up to which the session has now seen or written the group's log.
    std::optional<log_entry> floor;
    /// When the caller may try again; zero when there is no advice.
    duration retryAfter{};
    database_name database;
    bool fromReplica = false;
};

/// A result that says that nothing ran.
inline statement_result notRun(failure cause, std::string detail = {}, duration retryAfter = {})
{
    statement_result result;
    result.kind = outcome::notRun;
    result.cause = cause;
    result.detail = std::move(detail);
    result.retryAfter = retryAfter;
    return result;
}

/// A result that says that the effect of a statement is not known.
inline statement_result unknownOutcome(failure cause, std::string detail = {})
{
    statement_result result;
    result.kind = outcome::unknown;
    result.cause = cause;
    result.detail = std::move(detail);
    return result;
}

} // namespace mustardrouter
