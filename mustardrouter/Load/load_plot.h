#pragma once

#include "mustardrouter/Schema/load.pb.h"

#include <string>

namespace mustardrouter
{

/// SVG plot of a run over time: rate of statements by outcome and p99 latency, with the faults marked.
std::string plotRun(const load::run_report &run, const std::string &title);

} // namespace mustardrouter
