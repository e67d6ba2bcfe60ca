#pragma once

#include "mustardrouter/Membership/change_feed.h"
#include "mustardrouter/Membership/change_log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

constexpr std::size_t instancesKind = static_cast<std::size_t>(feed_kind::instances);

/// A value of the fake store: the position of its last change, and what is told with it.
struct fed_value {
    store_position position;
    bool leaving = false;

    bool operator==(const fed_value &) const = default;
};
using fed_objects = std::map<std::string, fed_value>;

/// An instance's copy of one kind, as Edge/object_watch keeps it.
struct fed_copy {
    fed_objects objects;
    store_position position;
    change_log log;
    /// All changes that were acknowledged before are in the copy; on the instance's clock.
    time_point completeSince{};
    bool listed = false;
    bool reachable = true;
    /// Number of the request that is awaited; 0 when there is none.
    std::uint64_t request = 0;
    time_point sentAt{};
    duration held{};
};

/// One instance in a play.
struct fed_instance {
    std::size_t index = 0;
    instance_name name;
    change_feed feed;
    std::array<fed_copy, feedKinds> copies;
    struct follower {
        time_point polledAt{};
        time_point lastPollAt{};
        std::array<store_position, feedKinds> known;
    };
    std::map<std::size_t, follower> followers;
    /// Difference of its clock to the play's.
    duration clockOffset{};
    bool running = true;
    bool oldBuild = false;
    std::uint64_t incarnation = 0;
    time_point frozenUntil{};
    std::set<std::size_t> cutFrom;
    bool cutFromStore = false;
    /// Messages to and from other instances take this much longer.
    duration linkDelay{};
    /// Last time at which something was wrong with it or its way to the store.
    time_point disturbedAt{};
    store_era era;
    std::uint64_t timer = 0;
    std::size_t asked = 0;
    /// A duration that the play may check: how often it changed to asking.
    std::size_t timesAsking = 0;
};

/// Plays the passing on of changes in one data centre in virtual time: a store, instances with clocks of their own, links that lose,
/// delay and break.
class feed_world
{
public:
    feed_world(std::size_t instances, feed_settings settings, std::uint64_t seed);

    void runUntil(time_point end);
    void runFor(duration span);
    time_point now() const;
    std::mt19937_64 &random();
    fed_instance &at(std::size_t index);
    std::size_t size() const;
    std::vector<std::size_t> withRole(feed_role role) const;

    void put(feed_kind kind, const std::string &name, bool leaving = false);
    void remove(feed_kind kind, const std::string &name);
    void setStoreSilent(bool silent);
    void cutFromStore(std::size_t index, bool cut);
    void cutFromPeers(std::size_t index, bool cut);
    void freeze(std::size_t index, duration span);
    void kill(std::size_t index);
    void start(std::size_t index, bool oldBuild = false);
    void stopSlowly(std::size_t index);
    void loseHistory(std::size_t changes);
    void at(time_point when, std::function<void()> what);

    /// Requests that the store received.
    std::uint64_t calls = 0;
    /// What went against a promise; empty if all were kept.
    std::vector<std::string> violations;

private:
    struct change {
        store_position position;
        std::string name;
        bool removed = false;
        bool leaving = false;
        time_point at{};
    };
    struct waiting_watch {
        std::size_t index;
        std::size_t kind;
        std::uint64_t request;
        std::uint64_t incarnation;
        store_position position;
        time_point until{};
    };
    struct answer {
        store_era era;
        bool list = false;
        store_position position;
        fed_objects objects;
        std::vector<change> changes;
    };
    struct told_kind {
        store_position from;
        store_position to;
        bool whole = false;
        std::vector<std::pair<std::string, fed_value>> objects;
        std::set<std::string> removed;
        duration completeAge{};
        std::optional<duration> changedAge;
        /// For the check: on the play's clock.
        time_point changedSinceInPlay{};
    };
    struct report {
        time_point polledAt{};
        bool reachesStore = false;
        bool stopping = false;
        store_era era;
        std::array<told_kind, feedKinds> kinds;
    };

    time_point clockOf(const fed_instance &instance) const;
    void later(fed_instance &instance, duration delay, std::function<void()> what);
    duration latency();
    void request(fed_instance &instance, std::size_t kind);
    void receiveRequest(waiting_watch watch, bool list, duration held);
    void respond(const waiting_watch &watch, bool list);
    void handleAnswer(fed_instance &instance, std::size_t kind, const answer &what);
    void fail(fed_instance &instance, std::size_t kind);
    void learnEra(fed_instance &instance, store_era era);
    void reconsider(fed_instance &instance);
    void onInstancesChanged(fed_instance &instance);
    void poll(fed_instance &from, const std::string &address);
    void sendReport(fed_instance &from, std::size_t to);
    void handleReport(fed_instance &instance, std::size_t from, const report &what);
    void pushChanges(fed_instance &instance);
    void notifyWatches();
    void check();
    void record(std::size_t kind, const std::string &name, bool removed, bool leaving);
    bool linkWorks(const fed_instance &from, const fed_instance &to) const;

    feed_settings m_settings;
    time_point m_now = time_point(std::chrono::hours(1));
    std::mt19937_64 m_random;
    std::multimap<time_point, std::function<void()>> m_queue;
    std::vector<std::unique_ptr<fed_instance>> m_instances;
    std::array<fed_objects, feedKinds> m_objects;
    std::array<std::vector<change>, feedKinds> m_changes;
    store_position m_position{store_era(1), store_revision(1)};
    bool m_silent = false;
    time_point m_storeDisturbedAt{};
    std::vector<waiting_watch> m_watches;
    std::uint64_t m_nextRequest = 1;
};

/// Bounds that the plays use: those of the users' strictest deployment.
constexpr duration playedConfigurationDelay = std::chrono::milliseconds(3000);
constexpr duration playedDrainTime = std::chrono::milliseconds(7000);
constexpr duration playedStableWindow = std::chrono::milliseconds(5000);

} // namespace mustardrouter
