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

/// Intervals and bounds of the distribution.
struct distribution_settings {
    /// Between two requests to a source that answers; the true interval is up to a half longer.
    duration requestInterval = std::chrono::seconds(4);
    /// A source that has not answered a request for so long is asked again, and not relied upon.
    duration replyTimeout = std::chrono::milliseconds(500);
    /// Between two reads of the platform while no source answers; the true one is up to twice this.
    duration pollInterval = std::chrono::seconds(1);
    /// A follower that has not asked for so long is forgotten.
    duration followerTimeout = std::chrono::seconds(15);
    /// Revisions whose changes are kept for followers.
    std::size_t maxRecentChanges = 64;
    std::size_t maxFollowers = 512;
};

/// An instance that this one follows.
struct distribution_source {
    instance_name name;
    time_point requestedAt{};
    time_point lastMessageAt{};
    time_point nextRequestAt{};
};

/// The configuration as one instance knows it and passes it on. Relays read the platform and answer
/// their followers; the others read the platform only while none of their sources answers.
struct distribution {
    /// `seed` sets apart the moments at which instances act.
    distribution(distribution_settings settings, std::uint64_t seed);

    distribution_settings settings;
    std::uint64_t random;
    /// Nothing until a first revision is known.
    std::shared_ptr<const configuration_snapshot> known;
    bool relay = false;
    std::vector<distribution_source> sources;
    /// Followers and when each asked last.
    std::map<instance_name, time_point> followers;
    /// Latest changes, oldest first; each begins where the one before ends.
    std::deque<configuration_delta> recentChanges;
    time_point pollAt{};
};

/// Advances the distribution by one event and appends what is to be done. The revision that is in
/// force never falls.
void step(distribution &state, const distribution_event &event, time_point now, distribution_actions &actions);

/// The revision that is in force; zero when none is.
revision_number revisionOf(const distribution &state);

} // namespace mustardrouter
