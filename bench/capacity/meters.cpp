#include "bench/capacity/meters.h"

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::int64_t> liveBytes{0};

double microsOf(clockid_t clock)
{
    constexpr double microsPerSecond = 1e6;
    constexpr double nanosPerMicro = 1e3;
    timespec spent{};
    clock_gettime(clock, &spent);
    return static_cast<double>(spent.tv_sec) * microsPerSecond + static_cast<double>(spent.tv_nsec) / nanosPerMicro;
}

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    liveBytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    return memory;
}

void operator delete(void *memory) noexcept
{
    liveBytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace mustardrouter::bench
{

double threadMicros()
{
    return microsOf(CLOCK_THREAD_CPUTIME_ID);
}

double processMicros()
{
    return microsOf(CLOCK_PROCESS_CPUTIME_ID);
}

std::int64_t heapBytes()
{
    return liveBytes.load();
}

} // namespace mustardrouter::bench
