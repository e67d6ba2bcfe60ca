#pragma once

#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/proxy_settings.h"

#include <map>
#include <optional>
#include <vector>

namespace mustardrouter
{

/// One database that may serve a read, with what the read is expected to cost there.
struct ranked_database {
    const database_state *database = nullptr;
    double expectedMicros = 0;
};

/// Inputs of the choice for one read.
struct read_choice {
    const std::map<database_name, database_state> *databases = nullptr;
    std::optional<database_name> lead;
    /// Databases that refused this read already.
    const std::vector<database_name> *avoid = nullptr;
};

/// Databases that may serve a read, best first: near ones, those that have answered fast, and
/// replicas before the primary, whose slots the writes need.
std::vector<ranked_database> rankForRead(const read_choice &choice, const proxy_settings &settings, time_point now);

} // namespace mustardrouter
