#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <string>

namespace mustardrouter
{

/// Timings of a request at its owner, reported to the entry for tracing.
struct request_hops {
    /// Time in the queue, at the database, and waiting for confirmation by replicas.
    duration queueTime{};
    duration runTime{};
    duration confirmationTime{};
    /// Why the database was chosen; empty when none was.
    std::string reason;
};

} // namespace mustardrouter
