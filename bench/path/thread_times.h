#pragma once

#include <map>
#include <string>

namespace mustardrouter::bench
{

/// Processor time of this process's threads in microseconds, summed by thread name.
std::map<std::string, double> threadCpuMicros();

} // namespace mustardrouter::bench
