#include "mustardrouter/Membership/feed_settings.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr duration askJitter = 250ms;
/// Connecting to the store, its answer to a request that it need not hold, and the adoption of what it tells.
constexpr duration ownAnswer = 450ms;
/// Polls in the time for which a source's knowledge is used, and the limits of their interval.
constexpr int pollsPerAgeLimit = 5;
constexpr duration minPollInterval = 300ms;
constexpr duration maxPollInterval = 1000ms;
/// The store's answer to a watcher, and the reply of the watcher to its follower.
constexpr duration answerMargin = 400ms;
constexpr duration minHeld = 500ms;
/// Part of the link that an answer gets beside the traffic of clients and databases.
constexpr double usableShare = 0.5;
/// A lost poll and its repetition are not yet a silence.
constexpr int pollsUntilSilent = 2;
constexpr duration silenceMargin = 500ms;

} // namespace

feed_settings feedSettingsFor(duration configurationDelay, duration drainTime, std::size_t minInstances, duration readTime)
{
    feed_settings settings;
    settings.ageLimit = std::min(configurationDelay, drainTime - leavingMargin - replacementTime) - askJitter - ownAnswer - readTime;
    settings.askJitter = askJitter;
    settings.pollInterval = std::clamp(settings.ageLimit / pollsPerAgeLimit, minPollInterval, maxPollInterval);
    settings.held = settings.ageLimit - settings.pollInterval - answerMargin;
    settings.silenceLimit = settings.pollInterval * pollsUntilSilent + silenceMargin;
    settings.retryAfter = 8s;
    settings.minAskTime = 2s;
    settings.pollValidFor = 3s;
    settings.minInstances = settings.held >= minHeld ? minInstances : 0;
    return settings;
}

std::size_t maxBytesToEach(const feed_settings &settings, std::size_t followers)
{
    return settings.passedOnBytes / std::max<std::size_t>(1, followers);
}

std::size_t passedOnBytesOf(double linkBytesPerSecond)
{
    constexpr std::chrono::duration<double> longestWait = 1s;
    return linkBytesPerSecond <= 0 ? SIZE_MAX : static_cast<std::size_t>(linkBytesPerSecond * usableShare * longestWait.count());
}

duration readTimeOf(std::size_t bytes, double linkBytesPerSecond)
{
    if (linkBytesPerSecond <= 0) {
        return {};
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / (linkBytesPerSecond * usableShare)));
}

} // namespace mustardrouter
