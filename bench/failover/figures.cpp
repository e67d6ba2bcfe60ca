#include "figures.h"

#include <algorithm>
#include <cstdio>

namespace mustardrouter
{

namespace
{

double millis(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

duration quantile(const std::vector<duration> &sorted, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

std::string describe(const figures &of)
{
    if (of.samples.empty()) {
        return "-";
    }
    std::vector<duration> sorted = of.samples;
    std::ranges::sort(sorted);
    char text[96];
    std::snprintf(
        text, sizeof(text), "%.1f / %.1f / %.1f", millis(quantile(sorted, 0.5)), millis(quantile(sorted, 0.99)), millis(sorted.back()));
    return text;
}

void add(gap_figures &to, const failover_times &times)
{
    if (times.firstDone == time_point{}) {
        ++to.unfinished;
        return;
    }
    to.gap.samples.push_back(times.firstDone - times.lastDone);
    const bool allStagesReached = times.detected != time_point{} && times.fenced != time_point{} && times.promoted != time_point{};
    if (!allStagesReached) {
        return;
    }
    to.detection.samples.push_back(times.detected - times.failed);
    to.fence.samples.push_back(times.fenced - times.detected);
    to.promotion.samples.push_back(times.promoted - times.fenced);
    to.resume.samples.push_back(times.firstDone - times.promoted);
}

void printRow(const std::string &label, const gap_figures &of)
{
    std::printf("| %s | %zu | %zu | %s | %s | %s | %s | %s |\n",
                label.c_str(),
                of.gap.samples.size(),
                of.unfinished,
                describe(of.gap).c_str(),
                describe(of.detection).c_str(),
                describe(of.fence).c_str(),
                describe(of.promotion).c_str(),
                describe(of.resume).c_str());
    std::fflush(stdout);
}

} // namespace mustardrouter
