#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"

#include <cstdint>
#include <optional>

namespace mustardrouter
{

/// A request that an owner has taken in.
struct waiting_request {
    request_id id;
    statement what;
    time_point arrivedAt{};
    /// Floor that a replica must have applied to serve this read.
    log_entry floor;
    /// Round of reports that must confirm the term before the answer goes out; zero for none.
    std::uint64_t round = 0;
    std::uint32_t attempts = 0;
    /// A read that has waited for a replica to catch up.
    bool waitedForReplica = false;
};

} // namespace mustardrouter
