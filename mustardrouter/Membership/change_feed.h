#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Membership/feed_settings.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Kinds of the store's objects that are passed on; the values are sent.
enum class feed_kind : std::uint8_t {
    databases,
    configuration,
    instances,
};
constexpr std::size_t feedKinds = 3;

/// Where an instance learns of the store's changes.
enum class feed_role : std::uint8_t {
    /// From the store: the data centre is small, or its instances are not known yet.
    alone,
    /// From the store, for others as well.
    watching,
    /// From its sources.
    following,
    /// From the store, since its sources do not tell enough.
    asking,
};
const char *toString(feed_role role);

/// An instance of the own data centre that is not leaving.
struct feed_peer {
    instance_name name;
    std::string address;

    bool operator==(const feed_peer &) const = default;
};

/// An instance that this one polls.
struct feed_source {
    feed_peer peer;
    time_point selectedAt{};
    time_point polledAt{};
    /// When the newest poll was sent to which it has replied; the epoch if there is none.
    time_point repliedTo{};
    /// It reaches the store.
    bool fit = false;
    /// Since when it has said that it does not reach the store; the epoch if it does.
    time_point unfitSince{};
};

/// What a source reported.
struct feed_report {
    /// When the newest poll was sent that the source had received.
    time_point polledAt{};
    bool reachesStore = false;
    /// The source stops.
    bool stopping = false;
    /// All changes that the store acknowledged before these times are in this instance's copies now; nothing for kinds that the report
    /// did not bring up to date.
    std::array<std::optional<time_point>, feedKinds> completeSince{};
};

/// An instance's decision where it learns of the store's changes. All times are those of the own clock.
struct change_feed {
    feed_settings settings;
    instance_name self;
    std::mt19937_64 random;
    /// Instances of the data centre by rank, with this one.
    std::vector<feed_peer> ranked;
    std::vector<feed_source> sources;
    /// Instances that were silent or cut from the store, and until when they are not selected.
    std::map<instance_name, time_point> passedOverUntil;
    feed_role role = feed_role::alone;
    /// Why the role was taken; a constant text.
    const char *reason = "start";
    /// All changes that the store acknowledged before were told by the sources; the epoch if that is not known.
    std::array<time_point, feedKinds> completeSince{};
    time_point askingSince{};
    /// One that followed asks until then at least.
    time_point askUntil{};
    /// Random delay of the next time at which this instance asks the store itself.
    duration jitter{};
    /// Since when no source is fit; the epoch if one is.
    time_point noneFitSince{};
    /// When another instance last polled this one; nothing if none has.
    std::optional<time_point> polledByPeerAt;
    /// This instance stops: it is no source, but passes on what it knows until its end.
    bool stopping = false;
};

change_feed makeFeed(feed_settings settings, instance_name self, std::uint64_t seed);

/// The list of instances was read: those of the own data centre that are not leaving, with this one.
void setPeers(change_feed &feed, std::vector<feed_peer> peers);
/// Another instance polled this one.
void onPolled(change_feed &feed, time_point now);
void onReport(change_feed &feed, const instance_name &source, const feed_report &report, time_point now);
/// The link to the address was lost.
void onSourceLost(change_feed &feed, const std::string &address, time_point now);
/// A source named a change without telling it.
void onChangeNotTold(change_feed &feed, time_point now);
/// The store has lost its history, or another store is used: the copies are being read again from the store.
void onCopiesInvalid(change_feed &feed, time_point now);

/// State of this instance's own copies and requests.
struct own_copies {
    /// All kinds have been listed since the start and the last loss of the store's history.
    bool complete = false;
    /// The store has answered the last request of each kind.
    bool reachesStore = false;
};

/// Decides anew which sources to use and whether to ask the store. Returns the sources to poll now.
std::vector<feed_peer> advance(change_feed &feed, const own_copies &copies, time_point now);

/// Whether this instance asks the store itself.
bool asksStore(const change_feed &feed);

/// When to call advance() next, after it was called `now`; nothing if only an event can change the decision.
std::optional<time_point> nextDue(const change_feed &feed, time_point now);

} // namespace mustardrouter
