#include "mustardrouter/Sessions/position_history.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::size_t maxSamples = 2048;

} // namespace

void recordPosition(position_history &history, time_point requestedAt, log_position position)
{
    const bool inOrder = history.samples.empty() || history.samples.back().requestedAt < requestedAt;
    if (!inOrder) {
        return;
    }
    history.samples.push_back({requestedAt, position});
    if (history.samples.size() > maxSamples) {
        history.samples.pop_front();
    }
}

std::optional<log_position> positionUpperBound(const position_history &history, time_point instant)
{
    const auto after = std::ranges::lower_bound(history.samples, instant, {}, &position_history::sample::requestedAt);
    if (after == history.samples.end()) {
        return std::nullopt;
    }
    return after->position;
}

} // namespace mustardrouter
