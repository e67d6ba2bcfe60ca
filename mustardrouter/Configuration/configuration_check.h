#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"

#include <string>
#include <string_view>
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
    duplicateAddress,
    /// Removed, or asked to be removed, while other objects refer to it.
    inUse,
    /// To be removed, but there is no such object.
    unknownObject,
    /// Cannot take effect safely on a group that is in use.
    unsafeChange,
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
    /// For missingReference: the object that does not exist.
    object_reference target{};
    bool operator==(const configuration_problem &) const = default;
};

/// Every problem of a snapshot as a whole; empty when it may be published.
std::vector<configuration_problem> checkSnapshot(const configuration_snapshot &snapshot);

/// Every problem of the changes on top of a checked snapshot; empty when they may be published.
std::vector<configuration_problem> checkChanges(const configuration_snapshot &current, const change_set &changes);

/// Whether the text is an IPv4 address, or an IPv6 address in brackets, and a port above zero.
bool isIpAndPort(std::string_view text);

} // namespace mustardrouter
