#pragma once

#include "mustardrouter/Load/history.h"
#include "mustardrouter/Load/load_statistics.h"
#include "mustardrouter/Schema/load.pb.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// The part of a run's report that follows from its statistics.
load::run_report makeRunReport(const load_statistics &statistics, const std::vector<load::phase> &phases);

/// The checker's result in the form of the report.
load::promises toReport(const check_result &result);

/// Whether every promise was kept.
bool allPromisesKept(const load::promises &promises);

/// Whether no database refused a connection or had more open than its limit.
bool withinConnectionLimits(const load::run_report &run);

/// The report as a readable table.
std::string toTable(const load::report &report);

/// Two reports side by side, with a dash for classes that only one of them has.
std::string compareReports(const load::report &left, const load::report &right);

} // namespace mustardrouter
