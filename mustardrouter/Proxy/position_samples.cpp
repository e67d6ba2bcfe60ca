#include "mustardrouter/Proxy/position_samples.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{
/// Samples kept; at one per `sampleSpacing`, they span more than the longest staleness in use.
constexpr std::size_t sampleCapacity = 32;
/// Samples closer together than this add no information.
constexpr duration sampleSpacing = std::chrono::milliseconds(150);
} // namespace

void addSample(position_samples &history, time_point requestedAt, log_entry entry)
{
    auto &samples = history.samples;
    if (!samples.empty() && requestedAt <= samples.back().requestedAt) {
        return;
    }
    if (!samples.empty() && (entry.term > samples.back().entry.term || entry < samples.back().entry)) {
        // A promotion may roll back entries that were sampled before; as floors they could block reads forever. The
        // term of the last entry changes only with the first commit, so a promotion may show as a shorter log alone.
        samples.clear();
    }
    const bool isTooDense = samples.size() >= 2 && requestedAt - samples[samples.size() - 2].requestedAt < sampleSpacing;
    if (isTooDense) {
        samples.back() = {requestedAt, entry};
        return;
    }
    samples.push_back({requestedAt, entry});
    if (samples.size() > sampleCapacity) {
        samples.pop_front();
    }
}

std::optional<log_entry> floorAt(const position_samples &history, time_point instant)
{
    const auto found = std::ranges::find_if(history.samples, [&](const position_samples::sample &sample) {
        return sample.requestedAt >= instant;
    });
    if (found == history.samples.end()) {
        return std::nullopt;
    }
    return found->entry;
}

time_point newestSampleAt(const position_samples &history)
{
    return history.samples.empty() ? time_point{} : history.samples.back().requestedAt;
}

} // namespace mustardrouter
