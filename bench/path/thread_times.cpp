#include "bench/path/thread_times.h"

#include <filesystem>
#include <fstream>

namespace mustardrouter::bench
{

std::map<std::string, double> threadCpuMicros()
{
    constexpr double nanosPerMicro = 1e3;
    std::map<std::string, double> times;
    for (const auto &task : std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        double nanos = 0;
        std::ifstream(task.path() / "comm") >> name;
        std::ifstream(task.path() / "schedstat") >> nanos;
        times[name] += nanos / nanosPerMicro;
    }
    return times;
}

} // namespace mustardrouter::bench
