#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <string>

namespace mustardrouter
{

/// What an owner tells an entry about a request, for its trace.
struct request_hops {
    /// Time in the queue, at the database, and waiting for confirmation.
    duration queueTime{};
    duration runTime{};
    duration confirmationTime{};
    /// Why the database was chosen; empty when none was.
    std::string reason;
};

} // namespace mustardrouter
