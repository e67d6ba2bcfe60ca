#pragma once

#include "mustardrouter/Configuration/distribution_action.h"
#include "mustardrouter/Configuration/distribution_event.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace mustardrouter
{

/// Intervals, timeouts and limits of the configuration distribution.
struct distribution_settings {
    /// Between two requests to a responsive source; jitter adds up to one half.
    duration requestInterval = std::chrono::seconds(4);
    /// After this time without a reply, a source counts as unresponsive and the request is repeated.
    duration replyTimeout = std::chrono::milliseconds(500);
    /// Between two reads of the platform while no source is responsive; jitter at most doubles it.
    duration pollInterval = std::chrono::seconds(1);
    /// A follower is removed after this time without a request.
    duration followerTimeout = std::chrono::seconds(15);
    /// Number of revisions whose changes are kept to send to followers.
    std::size_t maxRecentChanges = 64;
    std::size_t maxFollowers = 512;
};

/// An instance from which this one requests configuration changes.
struct distribution_source {
    instance_name name;
    time_point requestedAt{};
    time_point lastMessageAt{};
    time_point nextRequestAt{};
};

/// Configuration of one instance and the state of its distribution. Relays watch the platform and
/// send changes to their followers; other instances poll the platform only while none of their
/// sources is responsive.
struct distribution {
    /// `seed` initializes the jitter that keeps instances from acting at the same time.
    distribution(distribution_settings settings, std::uint64_t seed);

    distribution_settings settings;
    std::uint64_t random;
    /// Null until a first revision is known.
    std::shared_ptr<const configuration_snapshot> known;
    bool relay = false;
    std::vector<distribution_source> sources;
    /// Followers and the time of the last request of each.
    std::map<instance_name, time_point> followers;
    /// Recent deltas, oldest first; each starts at the revision where the previous one ends.
    std::deque<configuration_delta> recentChanges;
    time_point pollAt{};
};

/// Processes one event and appends the resulting actions. The revision in force never decreases.
void step(distribution &state, const distribution_event &event, time_point now, distribution_actions &actions);

/// The revision in force; zero when there is none.
revision_number revisionOf(const distribution &state);

} // namespace mustardrouter
