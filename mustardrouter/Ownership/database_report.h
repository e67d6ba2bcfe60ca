#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstdint>

namespace mustardrouter
{

/// Role of a database within its group.
enum class database_role : std::uint8_t { fenced, primary, replica };

/// State that a database reports. This type and the order_* actions define everything that is assumed
/// about a database: it knows terms, refuses lower ones, and reports the end of its log.
struct database_report {
    /// Highest term that the database has accepted.
    term_number term;
    database_role role = database_role::fenced;
    /// Last entry of its log.
    log_entry received;
    /// Last entry visible to reads.
    log_entry applied;
    /// Round of the order_report that this report answers; zero for an unsolicited report.
    std::uint64_t round = 0;
    /// Whether this is a replica that follows `term` and has truncated every entry that its primary lacks.
    bool inSync = false;
    /// The database has announced that it is leaving and must get no new work.
    bool leaving = false;
};

} // namespace mustardrouter
