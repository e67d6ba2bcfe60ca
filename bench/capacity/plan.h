#pragma once

#include "bench/capacity/fleet.h"
#include "bench/capacity/series.h"

#include <map>
#include <string>

namespace mustardrouter::bench
{

/// Fitted lines by the name of their series.
using fits_by_name = std::map<std::string, line_fit>;

/// The table of all roles, at today's size and at the target, worked out from fitted lines.
std::string rolesTable(const fits_by_name &fits);

/// The table of the platform's calls.
std::string platformTable();

/// The table of the bad days.
std::string badDaysTable();

} // namespace mustardrouter::bench
