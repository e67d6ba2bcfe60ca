#include "mustardrouter/Admission/catch_up.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::size_t maxSamples = 1024;
constexpr duration minSampleInterval = std::chrono::milliseconds(1);
constexpr double smoothingFactor = 0.2;
/// Lower bound of the expected wait for a position that is not applied yet, also when the estimate says that it should
/// be.
constexpr duration minExpectedWait = std::chrono::milliseconds(5);
/// Assumed lag of a replica without a measurement.
constexpr duration assumedLag = std::chrono::milliseconds(100);

std::deque<catch_up_estimate::sample>::const_iterator firstAtOrAbove(const catch_up_estimate &estimate, log_position position)
{
    return std::ranges::lower_bound(estimate.samples, position, {}, &catch_up_estimate::sample::position);
}

} // namespace

void recordPrimaryPosition(catch_up_estimate &estimate, log_position position, time_point now)
{
    const bool advanced = estimate.samples.empty() || estimate.samples.back().position < position;
    if (!advanced) {
        return;
    }
    const bool tooSoon = estimate.samples.size() >= 2 && now - estimate.samples[estimate.samples.size() - 2].seenAt < minSampleInterval;
    if (tooSoon) {
        estimate.samples.back() = {now, position};
        return;
    }
    estimate.samples.push_back({now, position});
    if (estimate.samples.size() > maxSamples) {
        estimate.samples.pop_front();
    }
}

void recordReplicaPosition(catch_up_estimate &estimate, const database_name &name, log_position applied, time_point now)
{
    catch_up_estimate::replica &replica = estimate.replicas[name];
    if (applied <= replica.applied) {
        return;
    }
    const auto reached = std::ranges::upper_bound(estimate.samples, applied, {}, &catch_up_estimate::sample::position);
    const bool reachedNewSample = reached != estimate.samples.begin() && std::prev(reached)->position > replica.applied;
    replica.applied = applied;
    if (!reachedNewSample) {
        return;
    }
    const auto lag = static_cast<double>((now - std::prev(reached)->seenAt).count());
    replica.lagMicros = replica.measured ? replica.lagMicros + smoothingFactor * (lag - replica.lagMicros) : lag;
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
    const auto sample = firstAtOrAbove(estimate, floor);
    if (sample == estimate.samples.end()) {
        return std::max(lag, minExpectedWait);
    }
    return std::max(sample->seenAt + lag - now, minExpectedWait);
}

void resetPositions(catch_up_estimate &estimate)
{
    estimate.samples.clear();
    for (auto &[name, replica] : estimate.replicas) {
        replica.applied = log_position{};
    }
}

} // namespace mustardrouter
