#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// Kinds of validation errors.
enum class problem_kind : std::uint8_t {
    missingReference,
    emptyName,
    duplicateName,
    missingValue,
    limitOutOfRange,
    notEnoughDatabases,
    badAddress,
    duplicateAddress,
    /// To be removed while other objects still refer to it.
    inUse,
    /// To be removed, but does not exist.
    unknownObject,
    /// Cannot be applied safely to an existing group.
    unsafeChange,
};

/// Name of a problem kind in messages to operators.
std::string_view toString(problem_kind kind);

/// A validation error in one field of an object.
struct configuration_problem {
    problem_kind kind;
    /// For example "service/scripts".
    std::string object;
    std::string field;
    /// Explanation for operators: the invalid value, or what refers to the object.
    std::string detail;
    /// For missingReference: the object that does not exist.
    object_reference target{};
    bool operator==(const configuration_problem &) const = default;
};

/// Validates a whole snapshot; empty when it may be published.
std::vector<configuration_problem> checkSnapshot(const configuration_snapshot &snapshot);

/// Validates changes on top of a valid snapshot; empty when they may be published.
std::vector<configuration_problem> checkChanges(const configuration_snapshot &current, const change_set &changes);

/// Whether the text is an IPv4 address, or an IPv6 address in brackets, followed by a nonzero port.
bool isIpAndPort(std::string_view text);

} // namespace mustardrouter
