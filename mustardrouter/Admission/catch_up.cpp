#include "mustardrouter/Admission/catch_up.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::size_t maxSamples = 1024;
constexpr duration minSampleInterval = std::chrono::milliseconds(1);
constexpr double newWeight = 0.2;
/// Expected wait when the estimate says that the replica should be there already.
constexpr duration minExpectedWait = std::chrono::milliseconds(5);
/// Assumed lag of a replica that has not been measured.
constexpr duration assumedLag = std::chrono::milliseconds(100);

std::deque<catch_up_estimate::mark>::const_iterator firstAtOrAbove(const catch_up_estimate &estimate, log_position position)
{
    return std::ranges::lower_bound(estimate.marks, position, {}, &catch_up_estimate::mark::position);
}

} // namespace

void recordPrimaryPosition(catch_up_estimate &estimate, log_position position, time_point now)
{
    const bool grown = estimate.marks.empty() || estimate.marks.back().position < position;
    if (!grown) {
        return;
    }
    const bool soon = estimate.marks.size() >= 2 && now - estimate.marks[estimate.marks.size() - 2].seen < minSampleInterval;
    if (soon) {
        estimate.marks.back() = {now, position};
        return;
    }
    estimate.marks.push_back({now, position});
    if (estimate.marks.size() > maxSamples) {
        estimate.marks.pop_front();
    }
}

void recordReplicaPosition(catch_up_estimate &estimate, const database_name &name, log_position applied, time_point now)
{
    catch_up_estimate::replica &replica = estimate.replicas[name];
    if (applied <= replica.applied) {
        return;
    }
    const auto reached = std::ranges::upper_bound(estimate.marks, applied, {}, &catch_up_estimate::mark::position);
    const bool reachedNewSample = reached != estimate.marks.begin() && std::prev(reached)->position > replica.applied;
    replica.applied = applied;
    if (!reachedNewSample) {
        return;
    }
    const auto lag = static_cast<double>((now - std::prev(reached)->seen).count());
    replica.lagMicros = replica.measured ? replica.lagMicros + newWeight * (lag - replica.lagMicros) : lag;
    replica.measured = true;
}

duration expectedCatchUp(const catch_up_estimate &estimate, const database_name &name, log_position floor, time_point now)
{
    const auto found = estimate.replicas.find(name);
    if (found == estimate.replicas.end()) {
        return assumedLag;
    }
    const catch_up_estimate::replica &replica = found->second;
    if (replica.applied >= floor) {
        return duration::zero();
    }
    const duration lag = replica.measured ? duration(static_cast<duration::rep>(replica.lagMicros)) : assumedLag;
    const auto mark = firstAtOrAbove(estimate, floor);
    if (mark == estimate.marks.end()) {
        return std::max(lag, minExpectedWait);
    }
    return std::max(mark->seen + lag - now, minExpectedWait);
}

void restart(catch_up_estimate &estimate)
{
    estimate.marks.clear();
    for (auto &[name, replica] : estimate.replicas) {
        replica.applied = log_position{};
    }
}

} // namespace mustardrouter
