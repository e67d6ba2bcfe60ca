#pragma once

#include "bench/capacity/fleet.h"
#include "bench/capacity/series.h"

#include <map>
#include <string>

namespace mustardrouter::bench
{

/// Fitted lines by the name of their series.
using fits_by_name = std::map<std::string, line_fit>;

/// Markdown table of the cost of all roles, today and at the target, computed from the fitted lines.
std::string rolesTable(const fits_by_name &fits);

/// Markdown table of the rate of calls to the platform.
std::string platformTable();

/// Markdown table of failovers and record writes in mass failures and restarts.
std::string badDaysTable();

} // namespace mustardrouter::bench
