#include "mustardrouter/Edge/store_feed.h"

#include "mustardrouter/Edge/boot_time.h"
#include "mustardrouter/Edge/told_objects.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mustardrouter
{

namespace
{

/// A reply to a poll that is no older than the interval of polls and this was not held up on its way.
constexpr duration replyMargin = std::chrono::milliseconds(200);

store_position fromMessage(const relay::store_point &point)
{
    return {store_era(point.era()), store_revision(point.revision())};
}

void toMessage(store_position position, relay::store_point &point)
{
    point.set_era(position.era.value());
    point.set_revision(position.revision.value());
}

std::uint64_t microsBetween(time_point earlier, time_point later)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (later - earlier).count()));
}

/// The time so long before another one; the epoch if there is none.
time_point before(time_point later, std::uint64_t micros)
{
    const auto since = static_cast<std::uint64_t>(later.time_since_epoch().count());
    return micros >= since ? time_point{} : later - duration(static_cast<std::int64_t>(micros));
}

} // namespace

store_feed::store_feed(asio::io_context &context,
                       relay_links &links,
                       event_log &log,
                       feed_settings settings,
                       instance_name self,
                       std::uint64_t seed,
                       std::function<void(store_era)> onEra)
    : m_links(links)
    , m_log(log)
    , m_feed(makeFeed(settings, std::move(self), seed))
    , m_onEra(std::move(onEra))
    , m_timer(context)
{
}

void store_feed::start(watches all)
{
    m_watches = std::move(all);
    m_started = true;
}

void store_feed::configure(feed_settings settings)
{
    m_feed.settings = settings;
    for (const std::shared_ptr<object_watch> &watch : m_watches) {
        if (m_started && m_feed.role == feed_role::watching) {
            watch->setAnswerInterval(settings.held);
        }
    }
    reconsider();
}

void store_feed::setInstances(const instance_listing &instances, const std::string &dataCentre)
{
    std::vector<feed_peer> peers;
    for (const listed_instance &instance : instances) {
        if (!instance.leaving && instance.dataCentre == dataCentre && !instance.relayAddress.empty()) {
            peers.push_back({instance.name, instance.relayAddress});
        }
    }
    setPeers(m_feed, std::move(peers));
    reconsider();
}

void store_feed::onCopiesInvalid()
{
    const feed_role role = m_feed.role;
    mustardrouter::onCopiesInvalid(m_feed, bootTime());
    applyRole(role);
    reconsider();
}

void store_feed::onWatchState()
{
    const time_point now = bootTime();
    std::erase_if(m_followers, [&](const auto &entry) {
        return now - entry.second.lastPollAt > m_feed.settings.pollValidFor;
    });
    for (auto &[link, to] : m_followers) {
        reply(link, to);
    }
    reconsider();
}

void store_feed::onStop()
{
    m_feed.stopping = true;
    onWatchState();
}

void store_feed::onPeerLost(const std::string &address)
{
    onSourceLost(m_feed, address, bootTime());
    // The caller is still busy with the link.
    m_timer.cancel();
    m_dueAt.reset();
    m_timer.expires_after(duration{});
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            reconsider();
        }
    });
}

void store_feed::onIncomingLost(std::uint64_t link)
{
    m_followers.erase(link);
}

bool store_feed::reachesStore() const
{
    return std::ranges::all_of(m_watches, [](const auto &watch) {
        return watch->isReachable();
    });
}

void store_feed::reconsider()
{
    if (!m_started) {
        return;
    }
    const time_point now = bootTime();
    const own_copies copies{std::ranges::all_of(m_watches,
                                                [](const auto &watch) {
                                                    return watch->isComplete();
                                                }),
                            reachesStore()};
    const feed_role role = m_feed.role;
    std::set<std::string> unused;
    for (const feed_source &source : m_feed.sources) {
        unused.insert(source.peer.address);
    }
    const std::vector<feed_peer> toPoll = advance(m_feed, copies, now);
    for (const feed_source &source : m_feed.sources) {
        unused.erase(source.peer.address);
    }
    applyRole(role);
    for (const std::string &address : unused) {
        m_links.dropUnusedLink(address);
    }
    for (const feed_peer &peer : toPoll) {
        poll(peer);
    }
    const std::optional<time_point> due = nextDue(m_feed, now);
    if (!due || (m_dueAt && *m_dueAt <= *due && *m_dueAt > now)) {
        return;
    }
    m_dueAt = due;
    m_timer.expires_after(*due - now);
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            m_dueAt.reset();
            reconsider();
        }
    });
}

void store_feed::applyRole(feed_role before)
{
    if (m_feed.role == before) {
        return;
    }
    m_log.write("store_changes_from", {{"role", toString(m_feed.role)}, {"before", toString(before)}, {"why", m_feed.reason}});
    for (const std::shared_ptr<object_watch> &watch : m_watches) {
        watch->setAnswerInterval(m_feed.role == feed_role::watching ? std::optional(m_feed.settings.held) : std::nullopt);
        if (asksStore(m_feed)) {
            watch->proceed();
        } else {
            watch->pause();
        }
    }
}

void store_feed::poll(const feed_peer &peer)
{
    relay::relay_message message;
    relay::store_changes &changes = *message.mutable_changes();
    changes.set_polled_at(static_cast<std::uint64_t>(bootTime().time_since_epoch().count()));
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        store_position known = m_watches.at(kind)->position();
        m_wantsAll.at(kind) = m_wantsAll.at(kind) && !m_watches.at(kind)->isReachable();
        if (m_wantsAll.at(kind)) {
            known.revision = store_revision();
        }
        toMessage(known, *changes.add_known());
    }
    m_links.sendToPeer(peer.address, message);
}

void store_feed::onIncomingMessage(std::uint64_t link, const relay::store_changes &message)
{
    if (!m_started || message.reply()) {
        return;
    }
    const time_point now = bootTime();
    follower &from = m_followers[link];
    from.polledAt = message.polled_at();
    from.lastPollAt = now;
    from.known = {};
    for (std::size_t kind = 0; kind < std::min<std::size_t>(feedKinds, static_cast<std::size_t>(message.known_size())); ++kind) {
        from.known.at(kind) = fromMessage(message.known(static_cast<int>(kind)));
    }
    onPolled(m_feed, now);
    if (m_feed.role != feed_role::watching) {
        reconsider();
    }
    reply(link, from);
}

void store_feed::reply(std::uint64_t link, follower &to)
{
    relay::relay_message message;
    relay::store_changes &changes = *message.mutable_changes();
    changes.set_reply(true);
    changes.set_polled_at(to.polledAt);
    changes.set_reaches_store(reachesStore());
    changes.set_stopping(m_feed.stopping);
    store_era era;
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        // What was not listed yet since the last loss of the store's history is not told.
        if (m_watches.at(kind)->isComplete()) {
            tell(kind, to.known.at(kind), *changes.add_kinds());
            to.known.at(kind) = m_watches.at(kind)->position();
            era = std::max(era, to.known.at(kind).era);
        }
    }
    changes.set_era(era.value());
    m_links.sendOnIncoming(link, message);
}

void store_feed::tell(std::size_t kind, store_position known, relay::told_kind &told)
{
    const object_watch &watch = *m_watches.at(kind);
    const time_point now = bootTime();
    const std::optional<lacking_changes> lacking = changesSince(watch.log(), known);
    // One that asks for all of it can't read it from the store.
    const bool limited = known.revision != store_revision();
    const std::size_t maxBytes = limited ? maxBytesToEach(m_feed.settings, m_followers.size()) : SIZE_MAX;
    relay::told_kind &last = m_lastTold.at(kind);
    const bool same = last.has_to() && fromMessage(last.to()) == watch.position() && fromMessage(last.from()) == known;
    if (!same) {
        last.Clear();
        last.set_kind(static_cast<std::uint32_t>(kind));
        toMessage(known, *last.mutable_from());
        toMessage(watch.position(), *last.mutable_to());
        for (const auto &[name, object] : watch.current()) {
            if (lacking && (lacking->whole || object.position > known)) {
                tellObject(object, known, *lacking, maxBytes, *last.add_objects());
            }
        }
        if (lacking) {
            last.set_whole(lacking->whole);
            for (const std::string &name : lacking->removed) {
                if (!watch.current().contains(name)) {
                    last.add_removed(name);
                }
            }
        }
    }
    told = last;
    told.set_complete_micros_ago(microsBetween(watch.completeSince(), now));
    if (lacking && lacking->changedSince != time_point{}) {
        told.set_changed_micros_ago(microsBetween(lacking->changedSince, now));
        told.set_answered_micros_ago(microsBetween(lacking->answeredAt, now));
    }
}

void store_feed::onPeerMessage(const std::string &address, const relay::store_changes &message)
{
    const auto source = std::ranges::find(m_feed.sources, address, [](const feed_source &one) {
        return one.peer.address;
    });
    if (!m_started || !message.reply() || source == m_feed.sources.end()) {
        return;
    }
    const instance_name name = source->peer.name;
    const time_point polledAt(duration(static_cast<std::int64_t>(message.polled_at())));
    const time_point now = bootTime();
    if (polledAt > now) {
        return;
    }
    if (message.era() > 0) {
        m_onEra(store_era(message.era()));
    }
    feed_report report{polledAt, message.reaches_store(), message.stopping(), {}};
    for (const relay::told_kind &told : message.kinds()) {
        if (told.kind() < feedKinds) {
            report.completeSince.at(told.kind()) = take(told, polledAt);
        }
    }
    onReport(m_feed, name, report, now);
    reconsider();
}

std::optional<time_point> store_feed::take(const relay::told_kind &message, time_point polledAt)
{
    object_watch &watch = *m_watches.at(message.kind());
    object_watch::told_changes told;
    told.whole = message.whole();
    told.from = fromMessage(message.from());
    told.to = fromMessage(message.to());
    const bool isLater = told.to > watch.position();
    for (const relay::told_object &object : message.objects()) {
        if (isLater && (object.too_large() || !takeObject(object, watch.current(), told))) {
            askForWhole(message.kind(), object);
            return std::nullopt;
        }
    }
    told.removed.insert(message.removed().begin(), message.removed().end());
    // The reply was sent after the poll, so that its spans end after that. What arrives long after the poll may have been held up.
    const time_point now = bootTime();
    told.completeSince = before(polledAt, message.complete_micros_ago());
    if (message.has_changed_micros_ago()) {
        told.changedSince = before(polledAt, message.changed_micros_ago());
    }
    if (message.has_answered_micros_ago()) {
        const bool heldUp = now - polledAt > m_feed.settings.pollInterval + replyMargin;
        told.answeredAt = before(heldUp ? polledAt : now, message.answered_micros_ago());
    }
    const time_point completeSince = told.completeSince;
    const bool adopted = watch.adopt(std::move(told));
    m_wantsAll.at(message.kind()) = m_wantsAll.at(message.kind()) && !adopted;
    return adopted ? std::optional(completeSince) : std::nullopt;
}

void store_feed::askForWhole(std::size_t kind, const relay::told_object &object)
{
    // The store first, since the source's link carries callers' statements. The next poll asks the source.
    const bool asksSource = !m_watches.at(kind)->isReachable();
    m_wantsAll.at(kind) = asksSource;
    m_changesNotTold += 1;
    m_log.write("change_not_told",
                {{"kind", std::to_string(kind)},
                 {"object", object.name()},
                 {"why", object.too_large() ? "too large" : "does not fit"},
                 {"asks", asksSource ? "source" : "store"}});
    const feed_role role = m_feed.role;
    if (!asksSource) {
        onChangeNotTold(m_feed, bootTime());
    }
    applyRole(role);
}

store_feed::figures store_feed::currentFigures() const
{
    figures now;
    now.role = m_feed.role;
    now.followers = m_followers.size();
    now.changesNotTold = m_changesNotTold;
    if (!m_started) {
        return now;
    }
    time_point oldest = bootTime();
    for (const std::shared_ptr<object_watch> &watch : m_watches) {
        oldest = std::min(oldest, watch->completeSince());
        now.requests += watch->requests();
        now.unreadable += watch->unreadable();
    }
    now.age = bootTime() - oldest;
    return now;
}

} // namespace mustardrouter
