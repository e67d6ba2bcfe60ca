#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"

#include <cstdint>
#include <optional>

namespace mustardrouter
{

/// A request that an owner has received.
struct waiting_request {
    request_id id;
    statement what;
    time_point arrivedAt{};
    /// Log entry that a replica must have applied to serve this read.
    log_entry floor;
    /// Round of reports that must confirm the term before the answer is sent; zero for none.
    std::uint64_t round = 0;
    std::uint32_t attempts = 0;
    /// The read has waited for a replica to catch up.
    bool waitedForReplica = false;
};

} // namespace mustardrouter
