#pragma once

#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/proxy_settings.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace mustardrouter
{

/// A database that may serve a read, with the time that the read is expected to cost there.
struct ranked_database {
    const database_state *database = nullptr;
    double expectedMicros = 0;
};

/// Inputs of the ranking for one read.
struct read_constraints {
    const std::map<database_name, database_state> *databases = nullptr;
    std::optional<database_name> primary;
    /// Databases that already refused or failed this read.
    const std::vector<database_name> *excludedDatabases = nullptr;
    /// Log entry that the read must see, if any.
    std::optional<log_entry> floor;
    /// Excludes a primary that is short of capacity, which is left to requests that have no alternative.
    bool avoidOverloadedPrimary = false;
};

/// Databases that may serve a read, in the order in which to try them. Nearby databases that replied fast
/// usually come first, and replicas before the primary, whose slots the writes need. The order is drawn at
/// random, weighted by the expected time, so that instances with the same knowledge choose differently.
std::vector<ranked_database> rankForRead(const read_constraints &constraints,
                                         const proxy_settings &settings,
                                         time_point now,
                                         std::mt19937_64 &random);

/// Whether the data centre is in the region of this instance's own; false when either region is not known.
bool isInOwnRegion(const proxy_settings &settings, const std::string &dataCentre);

/// Shortest recent duration of a route's reads, which is about what their work takes without a wait.
struct shortest_read {
    duration took{};
    time_point at{};
};

/// Adds a read's duration. Returns the shortest recent one.
duration recordShortestRead(shortest_read &shortest, duration took, time_point now);
/// Records the duration of a read at a database, or a refusal for lack of capacity, which counts as a long read. `work` is what such a
/// read takes without a wait, if that is known.
void recordReadTime(database_state &database, duration took, time_point now, duration work = {});
void recordOverload(database_state &database, time_point now);

/// Share of the reads that the database has capacity for, learned from its refusals and replies.
double admissibleReadShare(const database_state &database, time_point now);
/// Records that the database's log lacks an entry. Reads that need it avoid the database for a while, longer with each
/// consecutive refusal.
void recordMissingEntry(database_state &database, log_entry floor, time_point now);

} // namespace mustardrouter
