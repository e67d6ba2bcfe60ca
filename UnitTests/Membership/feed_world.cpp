#include "UnitTests/Membership/feed_world.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr duration ownHeld = 4000ms;
constexpr duration requestMargin = 500ms;
constexpr duration probeTimeout = 1000ms;
constexpr duration probeHeld = 1ms;
constexpr duration maxBatchDelay = 400ms;
constexpr duration checkInterval = 50ms;
/// After a loss of the store's history an instance lists at random within this time.
constexpr duration listSpread = 600ms;
constexpr std::size_t checkedChanges = 6;

std::string nameOf(std::size_t index)
{
    return "i-" + std::to_string(index);
}

} // namespace

feed_world::feed_world(std::size_t instances, feed_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
    for (std::size_t index = 0; index < instances; ++index) {
        record(instancesKind, nameOf(index), false, false);
        m_instances.push_back(std::make_unique<fed_instance>());
        fed_instance &instance = *m_instances.back();
        instance.index = index;
        instance.name = instance_name(nameOf(index));
        instance.running = false;
        instance.clockOffset = duration(static_cast<std::int64_t>(m_random() % 1'000'000'000));
        at(m_now + duration(static_cast<std::int64_t>(m_random() % 500'000)), [this, index] {
            start(index);
        });
    }
    record(static_cast<std::size_t>(feed_kind::configuration), "main", false, false);
    record(static_cast<std::size_t>(feed_kind::databases), "db", false, false);
    at(m_now, [this] {
        check();
    });
}

void feed_world::at(time_point when, std::function<void()> what)
{
    m_queue.emplace(when, std::move(what));
}

void feed_world::runUntil(time_point end)
{
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        m_now = std::max(m_now, m_queue.begin()->first);
        const std::function<void()> what = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        what();
    }
    m_now = end;
}

void feed_world::runFor(duration span)
{
    runUntil(m_now + span);
}

time_point feed_world::now() const
{
    return m_now;
}

std::mt19937_64 &feed_world::random()
{
    return m_random;
}

fed_instance &feed_world::at(std::size_t index)
{
    return *m_instances.at(index);
}

std::size_t feed_world::size() const
{
    return m_instances.size();
}

std::vector<std::size_t> feed_world::withRole(feed_role role) const
{
    std::vector<std::size_t> found;
    for (const auto &instance : m_instances) {
        if (instance->running && instance->feed.role == role) {
            found.push_back(instance->index);
        }
    }
    return found;
}

time_point feed_world::clockOf(const fed_instance &instance) const
{
    return m_now + instance.clockOffset;
}

duration feed_world::latency()
{
    return duration(static_cast<std::int64_t>(500 + m_random() % 4'000));
}

void feed_world::later(fed_instance &instance, duration delay, std::function<void()> what)
{
    const std::uint64_t incarnation = instance.incarnation;
    at(m_now + delay, [this, &instance, incarnation, what = std::move(what)] {
        if (!instance.running || instance.incarnation != incarnation) {
            return;
        }
        if (m_now < instance.frozenUntil) {
            later(instance, instance.frozenUntil - m_now, what);
            return;
        }
        what();
    });
}

void feed_world::record(std::size_t kind, const std::string &name, bool removed, bool leaving)
{
    m_position.revision = store_revision(m_position.revision.value() + 1);
    if (removed) {
        m_objects.at(kind).erase(name);
    } else {
        m_objects.at(kind)[name] = {m_position, leaving};
    }
    m_changes.at(kind).push_back({m_position, name, removed, leaving, m_now});
    notifyWatches();
}

void feed_world::put(feed_kind kind, const std::string &name, bool leaving)
{
    if (!m_silent) {
        record(static_cast<std::size_t>(kind), name, false, leaving);
    }
}

void feed_world::remove(feed_kind kind, const std::string &name)
{
    if (!m_silent) {
        record(static_cast<std::size_t>(kind), name, true, false);
    }
}

void feed_world::setStoreSilent(bool silent)
{
    m_silent = silent;
    m_storeDisturbedAt = m_now;
    m_watches.clear();
}

void feed_world::cutFromStore(std::size_t index, bool cut)
{
    at(index).cutFromStore = cut;
    at(index).disturbedAt = std::max(at(index).disturbedAt, m_now);
    std::erase_if(m_watches, [&](const waiting_watch &watch) {
        return watch.index == index;
    });
}

void feed_world::cutFromPeers(std::size_t index, bool cut)
{
    for (const auto &other : m_instances) {
        if (cut) {
            at(index).cutFrom.insert(other->index);
        }
    }
    if (!cut) {
        at(index).cutFrom.clear();
    }
}

void feed_world::freeze(std::size_t index, duration span)
{
    at(index).frozenUntil = std::max(at(index).frozenUntil, m_now + span);
    at(index).disturbedAt = std::max(at(index).disturbedAt, at(index).frozenUntil);
}

void feed_world::kill(std::size_t index)
{
    fed_instance &killed = at(index);
    killed.running = false;
    killed.incarnation += 1;
    killed.disturbedAt = m_now;
    killed.frozenUntil = {};
    killed.followers.clear();
    killed.copies = {};
    for (const auto &other : m_instances) {
        // Its connections are reset.
        later(*other, latency(), [this, &other = *other, index] {
            other.followers.erase(index);
            onSourceLost(other.feed, nameOf(index), clockOf(other));
            reconsider(other);
        });
    }
}

void feed_world::start(std::size_t index, bool oldBuild)
{
    fed_instance &instance = at(index);
    if (instance.running) {
        return;
    }
    instance.running = true;
    instance.oldBuild = oldBuild;
    instance.frozenUntil = {};
    instance.incarnation += 1;
    instance.disturbedAt = m_now;
    feed_settings settings = m_settings;
    settings.minInstances = oldBuild ? 0 : settings.minInstances;
    instance.feed = makeFeed(settings, instance.name, m_random());
    instance.era = {};
    instance.copies = {};
    const auto listed = m_objects.at(instancesKind).find(instance.name.value());
    if (listed == m_objects.at(instancesKind).end() || listed->second.leaving) {
        put(feed_kind::instances, instance.name.value());
    }
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        request(instance, kind);
    }
}

void feed_world::stopSlowly(std::size_t index)
{
    fed_instance &instance = at(index);
    put(feed_kind::instances, instance.name.value(), true);
    instance.feed.stopping = true;
    instance.disturbedAt = std::max(instance.disturbedAt, m_now);
    pushChanges(instance);
    later(instance, 2600ms, [this, index] {
        kill(index);
    });
}

void feed_world::loseHistory(std::size_t changes)
{
    for (std::size_t left = changes; left > 0; --left) {
        std::vector<change> *newest = &m_changes.front();
        for (auto &kind : m_changes) {
            if (!kind.empty() && (newest->empty() || kind.back().position > newest->back().position)) {
                newest = &kind;
            }
        }
        if (newest->size() > 1) {
            newest->pop_back();
        }
    }
    m_position = {store_era(m_position.era.value() + 1), store_revision(1)};
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        m_objects.at(kind).clear();
        for (change &one : m_changes.at(kind)) {
            one.position.era = m_position.era;
            m_position.revision = std::max(m_position.revision, one.position.revision);
            if (one.removed) {
                m_objects.at(kind).erase(one.name);
            } else {
                m_objects.at(kind)[one.name] = {one.position, one.leaving};
            }
        }
    }
    m_storeDisturbedAt = m_now;
    // The store that returns has closed all connections.
    for (const waiting_watch &watch : std::exchange(m_watches, {})) {
        fed_instance &instance = at(watch.index);
        later(instance, latency(), [this, &instance, watch] {
            if (instance.copies.at(watch.kind).request == watch.request) {
                fail(instance, watch.kind);
            }
        });
    }
}

void feed_world::request(fed_instance &instance, std::size_t kind)
{
    if (!asksStore(instance.feed)) {
        return;
    }
    fed_copy &copy = instance.copies.at(kind);
    copy.request = m_nextRequest++;
    copy.sentAt = clockOf(instance);
    copy.held = probeHeld;
    if (copy.reachable && copy.listed) {
        copy.held = instance.feed.role == feed_role::watching
                        ? std::clamp<duration>(copy.completeSince + instance.feed.settings.held - copy.sentAt, probeHeld, ownHeld)
                        : ownHeld;
    }
    const waiting_watch watch{instance.index, kind, copy.request, instance.incarnation, copy.position, {}};
    const bool arrives = !instance.cutFromStore;
    at(m_now + latency(), [this, watch, list = !copy.listed, held = copy.held, arrives] {
        if (arrives && !m_silent) {
            receiveRequest(watch, list, held);
        }
    });
    const duration timeout = copy.reachable && copy.listed ? copy.held + requestMargin : probeTimeout;
    later(instance, timeout, [this, &instance, kind, number = copy.request] {
        if (instance.copies.at(kind).request == number) {
            fail(instance, kind);
        }
    });
}

void feed_world::fail(fed_instance &instance, std::size_t kind)
{
    fed_copy &copy = instance.copies.at(kind);
    copy.request = 0;
    const bool was = std::exchange(copy.reachable, false);
    later(instance, 100ms + duration(static_cast<std::int64_t>(m_random() % 50'000)), [this, &instance, kind] {
        if (instance.copies.at(kind).request == 0) {
            request(instance, kind);
        }
    });
    if (was) {
        pushChanges(instance);
    }
    reconsider(instance);
}

void feed_world::receiveRequest(waiting_watch watch, bool list, duration held)
{
    calls += 1;
    const bool now = list || watch.position.era != m_position.era
                     || (!m_changes.at(watch.kind).empty() && m_changes.at(watch.kind).back().position > watch.position);
    if (now) {
        respond(watch, list);
        return;
    }
    watch.until = m_now + held;
    m_watches.push_back(watch);
    at(watch.until, [this, number = watch.request] {
        const auto found = std::ranges::find(m_watches, number, &waiting_watch::request);
        if (found != m_watches.end()) {
            const waiting_watch due = *found;
            m_watches.erase(found);
            respond(due, false);
        }
    });
}

void feed_world::notifyWatches()
{
    for (const waiting_watch &watch : std::exchange(m_watches, {})) {
        if (!m_changes.at(watch.kind).empty() && m_changes.at(watch.kind).back().position > watch.position) {
            respond(watch, false);
        } else {
            m_watches.push_back(watch);
        }
    }
}

void feed_world::respond(const waiting_watch &watch, bool list)
{
    answer what;
    what.era = m_position.era;
    what.list = list;
    what.position = m_position;
    if (list) {
        what.objects = m_objects.at(watch.kind);
    }
    for (const change &one : m_changes.at(watch.kind)) {
        if (one.position > watch.position) {
            what.changes.push_back(one);
        }
    }
    fed_instance &instance = at(watch.index);
    if (instance.cutFromStore || instance.incarnation != watch.incarnation) {
        return;
    }
    // A squeezed link delays the store's answers as well.
    later(instance, latency() + instance.linkDelay, [this, &instance, watch, what] {
        if (instance.copies.at(watch.kind).request == watch.request) {
            handleAnswer(instance, watch.kind, what);
        }
    });
}

void feed_world::handleAnswer(fed_instance &instance, std::size_t kind, const answer &what)
{
    fed_copy &copy = instance.copies.at(kind);
    copy.request = 0;
    if (what.era < instance.era) {
        fail(instance, kind);
        return;
    }
    if (what.era > instance.era) {
        learnEra(instance, what.era);
        if (!what.list) {
            return;
        }
        copy.request = 0;
    }
    const time_point now = clockOf(instance);
    const time_point changedSince = copy.completeSince;
    const bool full = what.changes.empty() && now - copy.sentAt >= copy.held;
    const bool changed = what.list || !what.changes.empty();
    if (what.list) {
        copy.objects = what.objects;
        copy.position = what.position;
        copy.listed = true;
        copy.completeSince = copy.sentAt;
        restartLog(copy.log, copy.position);
    } else if (what.position >= copy.position) {
        change_batch batch{copy.position, what.position, changedSince, now, {}};
        for (const change &one : what.changes) {
            if (one.removed) {
                copy.objects.erase(one.name);
                batch.removed.insert(one.name);
            } else {
                copy.objects[one.name] = {one.position, one.leaving};
            }
        }
        copy.position = what.position;
        if (changed) {
            appendToLog(copy.log, std::move(batch));
        } else {
            extendLog(copy.log, copy.position);
        }
    }
    copy.completeSince = std::max(copy.completeSince, copy.sentAt + (full ? copy.held : duration{}));
    copy.reachable = true;
    if (changed && kind == instancesKind) {
        onInstancesChanged(instance);
    }
    if (changed) {
        pushChanges(instance);
    }
    const duration left = copy.completeSince + instance.feed.settings.held - now;
    const duration pause = instance.feed.role == feed_role::watching ? std::clamp<duration>(left, 0ms, maxBatchDelay) : maxBatchDelay;
    later(instance, changed ? pause : duration{}, [this, &instance, kind] {
        if (instance.copies.at(kind).request == 0) {
            request(instance, kind);
        }
    });
    reconsider(instance);
}

void feed_world::learnEra(fed_instance &instance, store_era era)
{
    const bool first = instance.era == store_era{};
    instance.era = era;
    if (first) {
        return;
    }
    onCopiesInvalid(instance.feed, clockOf(instance));
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        fed_copy &copy = instance.copies.at(kind);
        copy.listed = false;
        copy.request = m_nextRequest++;
        later(instance,
              duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(listSpread.count()))),
              [this, &instance, kind, number = copy.request] {
                  if (instance.copies.at(kind).request == number) {
                      request(instance, kind);
                  }
              });
    }
    reconsider(instance);
}

void feed_world::onInstancesChanged(fed_instance &instance)
{
    std::vector<feed_peer> peers;
    for (const auto &[name, value] : instance.copies.at(instancesKind).objects) {
        if (!value.leaving) {
            peers.push_back({instance_name(name), name});
        }
    }
    setPeers(instance.feed, std::move(peers));
}

void feed_world::reconsider(fed_instance &instance)
{
    own_copies copies{true, true};
    for (const fed_copy &copy : instance.copies) {
        copies.complete = copies.complete && copy.listed;
        copies.reachesStore = copies.reachesStore && copy.reachable;
    }
    const bool asked = asksStore(instance.feed);
    for (const feed_peer &peer : advance(instance.feed, copies, clockOf(instance))) {
        poll(instance, peer.address);
    }
    if (asked && !asksStore(instance.feed)) {
        for (fed_copy &copy : instance.copies) {
            copy.request = 0;
            copy.reachable = true;
        }
    } else if (!asked && asksStore(instance.feed)) {
        instance.timesAsking += 1;
        for (std::size_t kind = 0; kind < feedKinds; ++kind) {
            // The first request is answered at once.
            instance.copies.at(kind).reachable = false;
            request(instance, kind);
            instance.copies.at(kind).reachable = true;
        }
    }
    if (const std::optional<time_point> due = nextDue(instance.feed, clockOf(instance))) {
        const std::uint64_t number = ++instance.timer;
        later(instance, std::max<duration>(*due - clockOf(instance), 0ms), [this, &instance, number] {
            if (instance.timer == number) {
                reconsider(instance);
            }
        });
    }
}

void feed_world::check()
{
    for (const auto &instance : m_instances) {
        const duration window = playedStableWindow;
        const bool inTouch =
            instance->running && !instance->cutFromStore && instance->linkDelay == duration{} && m_now - instance->disturbedAt >= window;
        const bool storeStable = !m_silent && m_now - m_storeDisturbedAt >= window;
        if (!inTouch || !storeStable || violations.size() > 20) {
            continue;
        }
        for (std::size_t kind = 0; kind < feedKinds; ++kind) {
            const std::vector<change> &changes = m_changes.at(kind);
            const fed_copy &copy = instance->copies.at(kind);
            for (std::size_t back = 1; back <= std::min(checkedChanges, changes.size()); ++back) {
                const change &one = changes[changes.size() - back];
                if (m_now - one.at < playedConfigurationDelay) {
                    continue;
                }
                const auto found = copy.objects.find(one.name);
                const bool outdated = found != copy.objects.end() && found->second.position < one.position;
                const bool removedLater =
                    std::any_of(changes.end() - static_cast<std::ptrdiff_t>(back), changes.end(), [&](const change &later) {
                        return later.removed && later.name == one.name;
                    });
                const bool missing = found == copy.objects.end() && !removedLater;
                if (copy.position < one.position || outdated || missing) {
                    violations.push_back("at " + std::to_string((m_now.time_since_epoch() - std::chrono::hours(1)).count()) + " us "
                                         + instance->name.value() + " (" + toString(instance->feed.role) + ", " + instance->feed.reason
                                         + ") lacks a change of kind " + std::to_string(kind) + " made "
                                         + std::to_string((m_now - one.at).count()) + " us ago");
                }
            }
        }
    }
    at(m_now + checkInterval, [this] {
        check();
    });
}

} // namespace mustardrouter
