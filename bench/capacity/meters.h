#pragma once

#include <cstdint>

namespace mustardrouter::bench
{

/// Processor time of the calling thread, in microseconds.
double threadMicros();

/// Processor time of the whole process, in microseconds.
double processMicros();

/// Bytes that this process holds by operator new.
std::int64_t heapBytes();

} // namespace mustardrouter::bench
