#include "mustardrouter/Membership/change_feed.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Sources of a follower: the second stands by.
constexpr std::size_t sourceCount = 2;
constexpr const char *rankingKey = "store changes";

duration drawBelow(change_feed &feed, duration limit)
{
    return limit <= duration{} ? duration{}
                               : duration(static_cast<std::int64_t>(feed.random() % static_cast<std::uint64_t>(limit.count())));
}

void passOver(change_feed &feed, const instance_name &name, time_point now)
{
    feed.passedOverUntil[name] = now + feed.settings.retryAfter + drawBelow(feed, feed.settings.retryAfter);
}

bool isSilent(const change_feed &feed, const feed_source &source, time_point now)
{
    return now - std::max(source.selectedAt, source.repliedTo) > feed.settings.silenceLimit;
}

bool isFit(const change_feed &feed, const feed_source &source, time_point now)
{
    return source.fit && !isSilent(feed, source, now);
}

/// Replaces sources that are silent, and those that are cut from the store where somebody else reaches it.
void dropUnfitSources(change_feed &feed, const own_copies &copies, time_point now)
{
    const bool storeAnswersSomebody =
        std::ranges::any_of(feed.sources,
                            [&](const feed_source &source) {
                                return isFit(feed, source, now);
                            })
        || (feed.role == feed_role::asking && copies.reachesStore && now - feed.askingSince >= feed.settings.minAskTime);
    for (const feed_source &source : feed.sources) {
        const bool cut = source.unfitSince != time_point{} && now - source.unfitSince > feed.settings.silenceLimit && storeAnswersSomebody;
        if (isSilent(feed, source, now) || cut) {
            passOver(feed, source.peer.name, now);
        }
    }
    std::erase_if(feed.passedOverUntil, [&](const auto &entry) {
        return entry.second <= now;
    });
}

/// Selects the first in rank that are not passed over. Until these have shown that they are fit, fit ones that follow in rank are kept
/// beside them. Returns true if this instance is one of the first.
bool selectSources(change_feed &feed, time_point now)
{
    std::vector<feed_source> selected;
    std::size_t first = 0;
    std::size_t fit = 0;
    bool selfSelected = false;
    for (const feed_peer &peer : feed.ranked) {
        if (fit == sourceCount) {
            break;
        }
        if (peer.name == feed.self) {
            selfSelected = first < sourceCount && !feed.stopping;
            first += selfSelected ? 1 : 0;
            continue;
        }
        if (feed.passedOverUntil.contains(peer.name)) {
            continue;
        }
        const auto known = std::ranges::find(feed.sources, peer, &feed_source::peer);
        const bool knownFit = known != feed.sources.end() && isFit(feed, *known, now);
        if (knownFit || first < sourceCount) {
            selected.push_back(known != feed.sources.end() ? *known : feed_source{peer, now, {}, {}, false, {}});
        }
        first += 1;
        fit += knownFit ? 1 : 0;
    }
    feed.sources = std::move(selected);
    return selfSelected;
}

void take(change_feed &feed, feed_role role, const char *reason)
{
    feed.role = role;
    feed.reason = reason;
}

bool isCompleteSince(const change_feed &feed, time_point limit)
{
    return std::ranges::all_of(feed.completeSince, [&](time_point since) {
        return since != time_point{} && since > limit;
    });
}

/// Why a follower has to ask the store itself; nothing if its sources tell enough.
const char *reasonToAsk(const change_feed &feed, time_point now)
{
    if (feed.noneFitSince != time_point{} && now >= feed.noneFitSince + feed.jitter) {
        return "no source reaches the store";
    }
    if (!isCompleteSince(feed, now - feed.settings.ageLimit - feed.jitter)) {
        return "sources are behind";
    }
    return nullptr;
}

void followOrAsk(change_feed &feed, const own_copies &copies, time_point now)
{
    const bool anyFit = std::ranges::any_of(feed.sources, [&](const feed_source &source) {
        return isFit(feed, source, now);
    });
    if (anyFit) {
        feed.noneFitSince = time_point{};
    } else if (feed.noneFitSince == time_point{}) {
        feed.noneFitSince = now;
    }
    if (feed.role == feed_role::following) {
        if (const char *reason = reasonToAsk(feed, now)) {
            feed.askingSince = now;
            feed.askUntil = now + feed.settings.minAskTime;
            take(feed, feed_role::asking, reason);
        }
        return;
    }
    if (feed.role != feed_role::asking) {
        feed.askingSince = now;
        take(feed, feed_role::asking, "no confirmation yet");
    }
    const time_point fresh = now - feed.settings.ageLimit + feed.settings.pollInterval;
    if (copies.complete && now >= feed.askUntil && anyFit && isCompleteSince(feed, fresh)) {
        feed.jitter = drawBelow(feed, feed.settings.askJitter);
        take(feed, feed_role::following, "sources confirm");
    }
}

} // namespace

const char *toString(feed_role role)
{
    switch (role) {
    case feed_role::alone:
        return "alone";
    case feed_role::watching:
        return "watching";
    case feed_role::following:
        return "following";
    case feed_role::asking:
        return "asking";
    }
    return "";
}

change_feed makeFeed(feed_settings settings, instance_name self, std::uint64_t seed)
{
    change_feed feed;
    feed.settings = settings;
    feed.self = std::move(self);
    feed.random.seed(seed);
    return feed;
}

void setPeers(change_feed &feed, std::vector<feed_peer> peers)
{
    std::vector<instance_name> names;
    names.reserve(peers.size());
    for (const feed_peer &peer : peers) {
        names.push_back(peer.name);
    }
    feed.ranked.clear();
    for (const std::size_t index : rankTopInstances(rankingKey, names, names.size())) {
        feed.ranked.push_back(std::move(peers[index]));
    }
}

void onPolled(change_feed &feed, time_point now)
{
    feed.polledByPeerAt = now;
}

void onReport(change_feed &feed, const instance_name &name, const feed_report &report, time_point now)
{
    const auto source = std::ranges::find(feed.sources, name, [](const feed_source &one) {
        return one.peer.name;
    });
    if (source == feed.sources.end()) {
        return;
    }
    source->repliedTo = std::max(source->repliedTo, report.polledAt);
    source->fit = report.reachesStore;
    if (report.reachesStore) {
        source->unfitSince = time_point{};
    } else if (source->unfitSince == time_point{}) {
        source->unfitSince = now;
    }
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        if (report.completeSince.at(kind)) {
            feed.completeSince.at(kind) = std::max(feed.completeSince.at(kind), *report.completeSince.at(kind));
        }
    }
    if (report.stopping) {
        passOver(feed, name, now);
    }
}

void onSourceLost(change_feed &feed, const std::string &address, time_point now)
{
    for (const feed_source &source : feed.sources) {
        if (source.peer.address == address) {
            passOver(feed, source.peer.name, now);
        }
    }
}

void onChangeNotTold(change_feed &feed, time_point now)
{
    if (feed.role != feed_role::following) {
        return;
    }
    feed.askingSince = now;
    feed.askUntil = now + feed.settings.minAskTime;
    take(feed, feed_role::asking, "a change was not told");
}

void onCopiesInvalid(change_feed &feed, time_point now)
{
    feed.completeSince = {};
    if (feed.role == feed_role::following || feed.role == feed_role::asking) {
        feed.askingSince = now;
        take(feed, feed_role::asking, "the store's history was lost");
    }
}

std::vector<feed_peer> advance(change_feed &feed, const own_copies &copies, time_point now)
{
    const bool polled = feed.polledByPeerAt && now - *feed.polledByPeerAt < feed.settings.pollValidFor;
    if (!polled) {
        feed.polledByPeerAt.reset();
    }
    const bool large = feed.settings.minInstances > 0 && feed.ranked.size() >= feed.settings.minInstances;
    dropUnfitSources(feed, copies, now);
    const bool selected = large && selectSources(feed, now);
    if (!large || selected || polled) {
        feed.sources.clear();
        feed.noneFitSince = time_point{};
        const feed_role role = selected || polled ? feed_role::watching : feed_role::alone;
        if (feed.role != role) {
            take(feed, role, selected ? "first in rank" : polled ? "polled by another instance" : "few instances");
        }
        return {};
    }
    followOrAsk(feed, copies, now);
    std::vector<feed_peer> toPoll;
    for (feed_source &source : feed.sources) {
        if (source.polledAt == time_point{} || now - source.polledAt >= feed.settings.pollInterval) {
            source.polledAt = now;
            toPoll.push_back(source.peer);
        }
    }
    return toPoll;
}

bool asksStore(const change_feed &feed)
{
    return feed.role != feed_role::following;
}

std::optional<time_point> nextDue(const change_feed &feed, time_point now)
{
    std::optional<time_point> due;
    const auto consider = [&](time_point at) {
        if (at > now) {
            due = due ? std::min(*due, at) : at;
        }
    };
    if (feed.polledByPeerAt) {
        consider(*feed.polledByPeerAt + feed.settings.pollValidFor);
    }
    if (feed.role == feed_role::watching || feed.sources.empty()) {
        for (const auto &[name, until] : feed.passedOverUntil) {
            consider(until);
        }
    }
    for (const feed_source &source : feed.sources) {
        consider(source.polledAt + feed.settings.pollInterval);
    }
    if (feed.role == feed_role::following) {
        for (const time_point since : feed.completeSince) {
            consider(since + feed.settings.ageLimit + feed.jitter);
        }
        if (feed.noneFitSince != time_point{}) {
            consider(feed.noneFitSince + feed.jitter);
        }
    }
    return due;
}

} // namespace mustardrouter
