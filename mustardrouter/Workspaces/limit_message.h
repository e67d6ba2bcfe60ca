#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// A pool requests the shares of a member for some slots, or renews their loans.
struct limit_poll {
    /// Time of sending on the pool's clock; the answer repeats it.
    time_point stamp{};
    /// Bit n: slot n.
    std::uint32_t slots = 0;

    bool operator==(const limit_poll &) const = default;
};

/// Tokens that a pool may add to its buckets with a loan.
enum class loan_tokens : std::uint8_t {
    none,
    /// The share of `movingTokens`.
    moving,
    /// The share of the whole burst: nothing can have been spent before.
    burst,
};

/// The share of one member for one slot.
struct limit_loan {
    std::uint32_t slot = 0;
    /// The share is 1 / members; 0: nothing is lent.
    std::uint32_t members = 0;
    /// The share alone may collect a whole token.
    bool unit = false;
    loan_tokens tokens = loan_tokens::none;

    bool operator==(const limit_loan &) const = default;
};

/// Reply to limit_poll.
struct limit_loans {
    time_point stamp{};
    std::vector<limit_loan> loans;

    bool operator==(const limit_loans &) const = default;
};

/// A pool no longer uses what was lent to it in reply to polls up to `stamp`.
struct limit_return {
    time_point stamp{};
    std::uint32_t slots = 0;

    bool operator==(const limit_return &) const = default;
};

/// Request for tokens of one workspace.
struct limit_ask {
    workspace_name workspace;
    /// For statements that wait.
    std::uint32_t needed = 0;
    /// For statements that are expected within the time for which a token is valid.
    std::uint32_t ahead = 0;
    /// To be kept for a statement that comes later.
    std::uint32_t spare = 0;
    /// Spare tokens of the pool's tenure `tenure` that were used since the last request.
    std::uint32_t spareUsed = 0;
    /// The same that were given up unused; the pool may grant them again.
    std::uint32_t spareReturned = 0;
    std::uint64_t tenure = 0;

    bool operator==(const limit_ask &) const = default;
};

struct limit_request {
    /// Time of sending on the requester's clock; different for each request.
    time_point stamp{};
    std::vector<limit_ask> asks;

    bool operator==(const limit_request &) const = default;
};

enum class grant_status : std::uint8_t {
    decided,
    /// This instance holds no loans, or not yet those that it will hold.
    noPool,
    /// This instance's configuration has no such workspace, or no limit for it.
    unknownWorkspace,
};

struct limit_grant {
    workspace_name workspace;
    grant_status status = grant_status::decided;
    std::uint32_t tokens = 0;
    std::uint32_t spare = 0;
    /// Time until the next token is there, where fewer were granted than needed.
    duration retryAfter{};

    bool operator==(const limit_grant &) const = default;
};

/// Reply to limit_request.
struct limit_grants {
    time_point stamp{};
    /// Number of the run of the pool's process.
    std::uint64_t tenure = 0;
    std::vector<limit_grant> grants;

    bool operator==(const limit_grants &) const = default;
};

/// An instance that joins tells another that it will own a share.
struct limit_join {
    bool operator==(const limit_join &) const = default;
};

/// The sender of the reply counts the joining instance from now on.
struct limit_join_known {
    bool operator==(const limit_join_known &) const = default;
};

/// A message about the limits of workspaces from one instance to another.
struct limit_message {
    instance_name from;
    std::variant<limit_poll, limit_loans, limit_return, limit_request, limit_grants, limit_join, limit_join_known> content;

    bool operator==(const limit_message &) const = default;
};

/// Whether the message is a reply, which goes back on the link of the request.
bool isReply(const limit_message &message);

} // namespace mustardrouter
