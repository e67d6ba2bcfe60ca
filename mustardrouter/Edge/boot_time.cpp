#include "mustardrouter/Edge/boot_time.h"

#include <ctime>

namespace mustardrouter
{

time_point bootTime()
{
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

} // namespace mustardrouter
