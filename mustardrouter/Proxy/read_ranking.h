#pragma once

#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/proxy_settings.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace mustardrouter
{

/// One database that may serve a read, with what the read is expected to cost there.
struct ranked_database {
    const database_state *database = nullptr;
    double expectedMicros = 0;
};

/// Inputs of the choice for one read.
struct read_constraints {
    const std::map<database_name, database_state> *databases = nullptr;
    std::optional<database_name> primary;
    /// Databases that refused this read already.
    const std::vector<database_name> *excludedDatabases = nullptr;
    /// Entry that the read must see, if any.
    std::optional<log_entry> floor;
    /// A primary that is short of room is left to those for whom there is nothing else.
    bool avoidOverloadedPrimary = false;
};

/// Databases that may serve a read, the one to try first in front. Near databases that have answered
/// fast come first most often, and replicas before the primary, whose slots the writes need. The order
/// is drawn, weighted by the expected time: instances that know the same must not all choose the same.
std::vector<ranked_database> rankForRead(const read_constraints &constraints,
                                         const proxy_settings &settings,
                                         time_point now,
                                         std::mt19937_64 &random);

/// Notes how long a read took at a database; a refusal for want of room counts as a long one.
void recordReadTime(database_state &database, duration took, time_point now);
void recordOverload(database_state &database, time_point now);

/// Share of the reads that the database has room for, learnt from its refusals and answers.
double admissibleReadShare(const database_state &database, time_point now);
/// Notes that the log lacks an entry: it is not asked for it again for a while, longer each time in a row.
void recordMissingEntry(database_state &database, log_entry floor, time_point now);

} // namespace mustardrouter
