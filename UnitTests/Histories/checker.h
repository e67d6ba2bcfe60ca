#pragma once

#include "fake_database.h"
#include "recorded_request.h"

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// Compares the recorded answers with a naive router that applies the final log one entry at a time.
/// Returns a description of each violated guarantee; empty if there are none.
std::vector<std::string> checkHistory(const recorded_history &history, const std::vector<fake_record> &log);

/// Describes a request in one line, for reports.
std::string describe(const recorded_request &request);

} // namespace mustardrouter::histories
