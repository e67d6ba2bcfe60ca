#pragma once

#include <cstdint>

namespace mustardrouter::bench
{

/// Processor time of the calling thread, in microseconds.
double threadMicros();

/// Processor time of the whole process, in microseconds.
double processMicros();

/// Heap bytes that this process has allocated by operator new and not yet freed.
std::int64_t heapBytes();

} // namespace mustardrouter::bench
