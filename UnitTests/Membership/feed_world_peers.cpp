#include "UnitTests/Membership/feed_world.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Of an instance that feed_world has named.
std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(2));
}

} // namespace

bool feed_world::linkWorks(const fed_instance &from, const fed_instance &to) const
{
    return !from.cutFrom.contains(to.index) && !to.cutFrom.contains(from.index);
}

void feed_world::poll(fed_instance &from, const std::string &address)
{
    fed_instance &to = at(indexOf(address));
    if (!linkWorks(from, to)) {
        return;
    }
    fed_instance::follower state{clockOf(from), {}, {}};
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        state.known.at(kind) = from.copies.at(kind).position;
    }
    later(to, latency() + from.linkDelay + to.linkDelay, [this, &to, index = from.index, state] {
        if (to.oldBuild) {
            return;
        }
        fed_instance::follower &follower = to.followers[index];
        follower = state;
        follower.lastPollAt = clockOf(to);
        onPolled(to.feed, clockOf(to));
        reconsider(to);
        sendReport(to, index);
    });
}

void feed_world::sendReport(fed_instance &from, std::size_t to)
{
    fed_instance &receiver = at(to);
    if (!linkWorks(from, receiver)) {
        return;
    }
    fed_instance::follower &follower = from.followers.at(to);
    report what;
    what.polledAt = follower.polledAt;
    what.reachesStore = true;
    what.stopping = from.feed.stopping;
    what.era = from.era;
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        const fed_copy &copy = from.copies.at(kind);
        told_kind &told = what.kinds.at(kind);
        what.reachesStore = what.reachesStore && copy.reachable;
        told.to = copy.position;
        told.from = follower.known.at(kind);
        told.completeAge = clockOf(from) - copy.completeSince;
        const std::optional<lacking_changes> lacking = changesSince(copy.log, told.from);
        if (!lacking) {
            continue;
        }
        told.whole = lacking->whole;
        for (const auto &[name, value] : copy.objects) {
            if (lacking->whole || value.position > told.from) {
                told.objects.emplace_back(name, value);
            }
        }
        for (const std::string &name : lacking->removed) {
            if (!copy.objects.contains(name)) {
                told.removed.insert(name);
            }
        }
        if (!lacking->whole && lacking->changedSince != time_point{}) {
            told.changedAge = clockOf(from) - lacking->changedSince;
            told.changedSinceInPlay = lacking->changedSince - from.clockOffset;
        }
        follower.known.at(kind) = copy.position;
    }
    later(receiver, latency() + from.linkDelay + receiver.linkDelay, [this, &receiver, index = from.index, what] {
        handleReport(receiver, index, what);
    });
}

void feed_world::pushChanges(fed_instance &instance)
{
    const time_point now = clockOf(instance);
    std::erase_if(instance.followers, [&](const auto &entry) {
        return now - entry.second.lastPollAt > instance.feed.settings.pollValidFor;
    });
    for (const auto &[index, follower] : instance.followers) {
        sendReport(instance, index);
    }
}

void feed_world::handleReport(fed_instance &instance, std::size_t from, const report &what)
{
    if (what.era > instance.era) {
        learnEra(instance, what.era);
    }
    if (what.era != instance.era) {
        return;
    }
    feed_report heard{what.polledAt, what.reachesStore, what.stopping, {}};
    for (std::size_t kind = 0; kind < feedKinds; ++kind) {
        const told_kind &told = what.kinds.at(kind);
        fed_copy &copy = instance.copies.at(kind);
        if (!copy.listed || told.to.era != copy.position.era) {
            continue;
        }
        const time_point completeSince = what.polledAt - told.completeAge;
        if (told.to > copy.position) {
            if (!continuesAt(copy.position, told.whole, told.from, told.to)) {
                continue;
            }
            change_batch batch{copy.position, told.to, copy.completeSince, completeSince, told.removed};
            if (told.changedAge) {
                batch.changedSince = std::max(batch.changedSince, what.polledAt - *told.changedAge);
                if (batch.changedSince - instance.clockOffset > told.changedSinceInPlay && batch.changedSince > copy.completeSince) {
                    violations.push_back("a change told by " + std::to_string(from) + " counts as later than at its source");
                }
            }
            if (told.whole) {
                copy.objects.clear();
            }
            for (const std::string &name : told.removed) {
                copy.objects.erase(name);
            }
            for (const auto &[name, value] : told.objects) {
                copy.objects[name] = value;
            }
            const bool changed = told.whole || !told.objects.empty() || !told.removed.empty();
            copy.position = told.to;
            if (told.whole) {
                restartLog(copy.log, told.to);
            } else if (changed) {
                appendToLog(copy.log, std::move(batch));
            } else {
                extendLog(copy.log, told.to);
            }
            if (changed && kind == instancesKind) {
                onInstancesChanged(instance);
            }
        }
        copy.completeSince = std::max(copy.completeSince, completeSince);
        heard.completeSince.at(kind) = completeSince;
    }
    onReport(instance.feed, at(from).name, heard, clockOf(instance));
    reconsider(instance);
}

} // namespace mustardrouter
