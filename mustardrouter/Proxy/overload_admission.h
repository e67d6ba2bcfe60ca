#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_state.h"

#include <cstdint>

namespace mustardrouter
{

/// A read, or a transaction that is about to begin, whose admission to an overloaded database is decided.
struct admission_request {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Smoothed time from sending a read of its route to the reply, in microseconds; 0 when unknown.
    double smoothedReadMicros = 0;
    /// The same over all reads of the group.
    double groupReadMicros = 0;
    /// How often a database refused it for lack of capacity.
    std::uint32_t overloadRefusals = 0;
    /// Expected number of statements: one for a read, more for a transaction.
    double statements = 1;
};

/// Probability with which the request is admitted. When both replicas of a group lag, all its reads go to a primary
/// that can run about half of them. Without admission control the primary refuses all statements alike, including
/// writes and statements of open transactions. With it, about as much is admitted as the primary can run. Longer reads
/// are rejected first, since each displaces more than one caller, and transactions before them: under one load with
/// five statements a transaction, a sixth of the callers took three fifths of the primary's capacity.
double admissionProbability(const database_state &primary, const admission_request &request, time_point now);

} // namespace mustardrouter
