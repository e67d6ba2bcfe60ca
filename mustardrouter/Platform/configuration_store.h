#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Platform/platform_client.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// How a publication ended.
struct publication_result {
    failure why = failure::none;
    revision_number revision;
    /// Filled for failure::invalidConfiguration.
    std::vector<configuration_problem> problems;
    std::string detail;
};

/// Reads the newest snapshot, or the changes since `known` applied to it. The result never has a
/// lower revision than `known`.
platform_answer<configuration_snapshot> loadConfiguration(platform_client &platform, const configuration_snapshot &known);

/// Checks the changes against the newest snapshot and publishes them as one revision, whole or not
/// at all. Another operator's publication in between makes it check again on top of theirs.
publication_result publishChanges(platform_client &platform, const change_set &changes, const std::string &author);

} // namespace mustardrouter
