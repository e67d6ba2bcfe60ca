#pragma once

#include "mustardrouter/Edge/object_watch.h"
#include "mustardrouter/Edge/relay_links.h"
#include "mustardrouter/Membership/change_feed.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "mustardrouter/Runtime/event_log.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mustardrouter
{

/// Passes changes of the platform's store on between the instances of a data centre: polls other instances for this one's copies, and
/// answers their polls. What it does when is decided by change_feed.
class store_feed
{
public:
    using watches = std::array<std::shared_ptr<object_watch>, feedKinds>;

    /// Figures of this instance for its metrics.
    struct figures {
        feed_role role = feed_role::alone;
        /// Time since which the oldest copy is known to be complete.
        duration age{};
        /// Requests for lists and changes that were sent to the store.
        std::uint64_t requests = 0;
        std::uint64_t unreadable = 0;
        std::size_t followers = 0;
        /// Changes that a source named without telling them, or that did not fit this copy.
        std::uint64_t changesNotTold = 0;
    };

    /// `onEra` is called with the era that another instance names.
    store_feed(asio::io_context &context,
               relay_links &links,
               event_log &log,
               feed_settings settings,
               instance_name self,
               std::uint64_t seed,
               std::function<void(store_era)> onEra);

    /// The watches have been started.
    void start(watches all);
    void configure(feed_settings settings);
    /// The list of instances was read.
    void setInstances(const instance_listing &instances, const std::string &dataCentre);
    /// The copies are being read again from the store.
    void onCopiesInvalid();
    /// A watch has new changes, or has lost or regained the store.
    void onWatchState();
    /// This instance stops.
    void onStop();
    void onPeerMessage(const std::string &address, const relay::store_changes &message);
    void onIncomingMessage(std::uint64_t link, const relay::store_changes &message);
    void onPeerLost(const std::string &address);
    void onIncomingLost(std::uint64_t link);
    figures currentFigures() const;

private:
    /// An instance that polls this one.
    struct follower {
        std::uint64_t polledAt = 0;
        time_point lastPollAt{};
        std::array<store_position, feedKinds> known;
    };

    void reconsider();
    void applyRole(feed_role before);
    void poll(const feed_peer &peer);
    void reply(std::uint64_t link, follower &to);
    void tell(std::size_t kind, store_position known, relay::told_kind &told);
    /// Takes over what a source told of one kind. Returns since when this copy is complete, if it is up to date with the source's.
    std::optional<time_point> take(const relay::told_kind &told, time_point polledAt);
    /// What was told of an object is not enough to bring this copy forward.
    void askForWhole(std::size_t kind, const relay::told_object &object);
    bool reachesStore() const;

    relay_links &m_links;
    event_log &m_log;
    change_feed m_feed;
    std::function<void(store_era)> m_onEra;
    asio::steady_timer m_timer;
    std::optional<time_point> m_dueAt;
    watches m_watches;
    std::map<std::uint64_t, follower> m_followers;
    /// The changes that were sent last, by kind: most followers lack the same.
    std::array<relay::told_kind, feedKinds> m_lastTold;
    /// This copy of the kind can't be brought forward otherwise: the sources are asked for all of it.
    std::array<bool, feedKinds> m_wantsAll{};
    std::uint64_t m_changesNotTold = 0;
    bool m_started = false;
};

} // namespace mustardrouter
