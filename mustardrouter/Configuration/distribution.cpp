#include "mustardrouter/Configuration/distribution.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

/// Splitmix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

duration randomBelow(distribution &state, duration limit)
{
    return duration(static_cast<std::int64_t>(nextRandom(state.random) % static_cast<std::uint64_t>(limit.count())));
}

distribution_source *findSource(distribution &state, const instance_name &name)
{
    const auto found = std::ranges::find(state.sources, name, &distribution_source::name);
    return found == state.sources.end() ? nullptr : &*found;
}

/// The changes that a follower at revision `have` is missing.
configuration_delta deltaSince(const distribution &state, revision_number have)
{
    const revision_number own = revisionOf(state);
    configuration_delta delta{have, own, {}, false};
    if (have >= own) {
        delta.from = own;
        return delta;
    }
    const auto first = std::ranges::find(state.recentChanges, have, &configuration_delta::from);
    if (first == state.recentChanges.end()) {
        return {{}, own, differenceOf({}, *state.known), true};
    }
    for (auto change = first; change != state.recentChanges.end(); ++change) {
        delta.changes = mergeChanges(delta.changes, change->changes);
    }
    return delta;
}

void sendToFollowers(const distribution &state, const configuration_delta &delta, distribution_actions &actions)
{
    for (const auto &[follower, requestedAt] : state.followers) {
        actions.emplace_back(send_changes{follower, delta});
    }
}

/// Puts a newer snapshot in force and sends its changes to the followers.
void adopt(distribution &state, std::shared_ptr<const configuration_snapshot> snapshot, change_set changes, distribution_actions &actions)
{
    assert(snapshot->revision > revisionOf(state));
    const configuration_delta delta{revisionOf(state), snapshot->revision, std::move(changes), false};
    state.known = std::move(snapshot);
    state.recentChanges.push_back(delta);
    if (state.recentChanges.size() > state.settings.maxRecentChanges) {
        state.recentChanges.pop_front();
    }
    actions.emplace_back(adopt_configuration{state.known});
    sendToFollowers(state, delta, actions);
}

void requestFromSource(distribution &state, distribution_source &source, time_point now, distribution_actions &actions)
{
    source.requestedAt = now;
    // Retried after the timeout; a reply restores the regular interval.
    source.nextRequestAt = now + state.settings.replyTimeout + randomBelow(state, state.settings.replyTimeout);
    actions.emplace_back(request_changes{source.name, revisionOf(state)});
}

bool isResponsive(const distribution_source &source, const distribution_settings &settings, time_point now)
{
    const bool waiting = source.lastMessageAt < source.requestedAt;
    return source.lastMessageAt != time_point{} && (!waiting || now - source.requestedAt < settings.replyTimeout);
}

void pollPlatform(distribution &state, time_point now, distribution_actions &actions)
{
    state.pollAt = now + state.settings.pollInterval + randomBelow(state, state.settings.pollInterval);
    actions.emplace_back(poll_platform{});
}

void on(distribution &state, const sources_chosen &event, time_point now, distribution_actions &actions)
{
    std::vector<distribution_source> sources;
    for (const instance_name &name : event.sources) {
        const distribution_source *old = findSource(state, name);
        sources.push_back(old == nullptr ? distribution_source{name} : *old);
    }
    state.sources = std::move(sources);
    for (distribution_source &source : state.sources) {
        if (source.requestedAt == time_point{}) {
            requestFromSource(state, source, now, actions);
        }
    }
    if (event.relay != state.relay) {
        state.relay = event.relay;
        actions.emplace_back(watch_platform{state.relay});
    }
}

void on(distribution &state, const configuration_read &event, time_point, distribution_actions &actions)
{
    if (event.snapshot->revision <= revisionOf(state)) {
        return;
    }
    change_set changes = differenceOf(state.known ? *state.known : configuration_snapshot{}, *event.snapshot);
    adopt(state, event.snapshot, std::move(changes), actions);
}

void on(distribution &state, const delta_received &event, time_point now, distribution_actions &actions)
{
    distribution_source *source = findSource(state, event.from);
    if (source != nullptr) {
        if (source->lastMessageAt < source->requestedAt) {
            // This is the reply. Unsolicited changes do not postpone the next request, which renews
            // the subscription at the source.
            source->nextRequestAt = now + state.settings.requestInterval + randomBelow(state, state.settings.requestInterval / 2);
        }
        source->lastMessageAt = now;
    }
    const configuration_delta &delta = event.delta;
    if (delta.to <= revisionOf(state)) {
        return;
    }
    if (!delta.whole && delta.from != revisionOf(state)) {
        if (delta.from == delta.to) {
            // The peer cannot send the missing changes because they are too large.
            pollPlatform(state, now, actions);
        } else {
            actions.emplace_back(request_changes{event.from, revisionOf(state)});
        }
        return;
    }
    const configuration_snapshot before = state.known ? *state.known : configuration_snapshot{};
    configuration_snapshot next = applyChanges(delta.whole ? configuration_snapshot{} : before, delta.changes);
    next.revision = delta.to;
    change_set changes = delta.whole ? differenceOf(before, next) : delta.changes;
    adopt(state, std::make_shared<const configuration_snapshot>(std::move(next)), std::move(changes), actions);
}

void on(distribution &state, const changes_requested &event, time_point now, distribution_actions &actions)
{
    if (state.followers.size() < state.settings.maxFollowers || state.followers.contains(event.from)) {
        state.followers[event.from] = now;
    }
    if (event.have > revisionOf(state)) {
        // The follower is ahead: the platform may have become unavailable before this instance read it.
        actions.emplace_back(request_changes{event.from, revisionOf(state)});
    }
    actions.emplace_back(send_changes{event.from, deltaSince(state, event.have)});
}

void on(distribution &state, const peer_connection_lost &event, time_point now, distribution_actions &)
{
    state.followers.erase(event.name);
    if (distribution_source *source = findSource(state, event.name)) {
        source->lastMessageAt = time_point{};
        source->nextRequestAt = std::min(source->nextRequestAt, now + state.settings.replyTimeout);
    }
}

void on(distribution &state, const distribution_ticked &, time_point now, distribution_actions &actions)
{
    std::erase_if(state.followers, [&](const auto &follower) {
        return now - follower.second > state.settings.followerTimeout;
    });
    bool anyResponsive = false;
    for (distribution_source &source : state.sources) {
        if (now >= source.nextRequestAt) {
            requestFromSource(state, source, now, actions);
        }
        anyResponsive = anyResponsive || isResponsive(source, state.settings, now);
    }
    const bool isDisconnected = !state.relay && !anyResponsive;
    if ((isDisconnected || !state.known) && now >= state.pollAt) {
        pollPlatform(state, now, actions);
    }
}

} // namespace

distribution::distribution(distribution_settings chosen, std::uint64_t seed)
    : settings(chosen)
    , random(seed)
{
}

void step(distribution &state, const distribution_event &event, time_point now, distribution_actions &actions)
{
    const revision_number before = revisionOf(state);
    std::visit(
        [&](const auto &what) {
            on(state, what, now, actions);
        },
        event);
    assert(revisionOf(state) >= before);
}

revision_number revisionOf(const distribution &state)
{
    return state.known ? state.known->revision : revision_number();
}

} // namespace mustardrouter
