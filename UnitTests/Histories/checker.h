#pragma once

#include "fake_database.h"
#include "recorded_request.h"

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// Compares what callers saw with a naive router that runs the surviving log one entry at a time.
/// Returns each broken promise; nothing when all were kept.
std::vector<std::string> checkHistory(const recorded_history &history, const std::vector<fake_record> &log);

/// One line on a request, for reports.
std::string describe(const recorded_request &request);

} // namespace mustardrouter::histories
