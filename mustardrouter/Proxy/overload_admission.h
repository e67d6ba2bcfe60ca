#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_state.h"

#include <cstdint>

namespace mustardrouter
{

/// A read, or a transaction that is about to begin, that no replica can serve, at the door of its primary.
struct admission_request {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Smoothed time that reads of its route take where nothing waits, in microseconds; 0 when unknown.
    double smoothedReadMicros = 0;
    /// The same over all routes of the group.
    double groupReadMicros = 0;
    /// Times it was refused by the database for want of room.
    std::uint32_t overloadRefusals = 0;
    /// Statements that are expected of it: one for a read, more for a transaction.
    double statements = 1;
};

/// Probability with which the read is let in. The load this answers: both replicas of a group lag, and all
/// its reads come to a primary that can run about half of them. Without a gate every statement is refused
/// alike, writes and the statements of open transactions too. With it, what is let in is about what the
/// primary can run: longer reads stay out first, since each keeps out more than one caller, and transactions before
/// them: on kovacik-popis scale-2 a sixth of the callers took three fifths of the primary with five statements each.
double admissionProbability(const database_state &primary, const admission_request &request, time_point now);

} // namespace mustardrouter
