#pragma once

#include "mustardrouter/Core/log_entry.h"

#include <cstdint>

namespace mustardrouter
{

/// What a database does within its group.
enum class database_role : std::uint8_t { fenced, primary, replica };

/// State that a database reports. This header and database_order.h hold all that is assumed of
/// a database: it knows terms, refuses lower ones, and reports the end of its log.
struct database_report {
    /// Highest term that the database has accepted.
    term_number term;
    database_role role = database_role::fenced;
    /// Last entry held.
    log_entry received;
    /// Last entry visible to reads.
    log_entry applied;
    /// The report answers the order of this round; zero for an unsolicited report.
    std::uint64_t round = 0;
    /// A replica that follows `term` and has dropped whatever its primary lacks.
    bool inSync = false;
    /// The database asks for no new work.
    bool leaving = false;
};

} // namespace mustardrouter
