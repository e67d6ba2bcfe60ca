#pragma once

#include "mustardrouter/Load/history.h"
#include "mustardrouter/Load/load_statistics.h"
#include "mustardrouter/Schema/load.pb.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// The part of a run's report that its figures give.
load::run_report makeRunReport(const load_statistics &statistics, const std::vector<load::phase> &phases);

/// What the checker found, as reported.
load::promises toReport(const verdict &result);

/// Whether every promise was kept.
bool isClean(const load::promises &promises);

/// Whether no database was asked for more connections than it takes.
bool keptLimits(const load::run_report &run);

/// The report as a table for people.
std::string toTable(const load::report &report);

/// Two reports side by side; classes that only one has show a dash.
std::string compareReports(const load::report &left, const load::report &right);

} // namespace mustardrouter
