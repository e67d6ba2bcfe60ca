#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// What can be wrong with an object.
enum class problem_kind : std::uint8_t {
    missingReference,
    emptyName,
    duplicateName,
    missingValue,
    limitOutOfRange,
    notEnoughDatabases,
    badAddress,
};

/// Name of a problem as shown to operators.
std::string_view toString(problem_kind kind);

/// One thing wrong with one field of one object.
struct configuration_problem {
    problem_kind kind;
    /// As in "service/scripts".
    std::string object;
    std::string field;
    /// For people: what the value is and what refers to it.
    std::string detail;
};

/// Every problem of a snapshot as a whole; empty when it may be published.
std::vector<configuration_problem> checkSnapshot(const configuration_snapshot &snapshot);

} // namespace mustardrouter
