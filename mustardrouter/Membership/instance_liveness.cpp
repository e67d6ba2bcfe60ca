#include "mustardrouter/Membership/instance_liveness.h"

#include <algorithm>
#include <tuple>

namespace mustardrouter
{

namespace
{

constexpr duration roundInterval = std::chrono::seconds(2);
/// An instance with so many unanswered probes in a row is passed over for the next one, and then marked. A wrong mark costs two writes,
/// and the instance gets no relayed statements until it has taken the mark back.
constexpr std::uint32_t probesBeforeNext = 2;
constexpr std::uint32_t probesBeforeMark = 4;
/// Before its entry is removed, it has been silent for 30 s, and has had 16 s to learn of the mark: what it reads may be 6 s old.
constexpr std::uint32_t probesBeforeRemoval = 15;
constexpr std::uint32_t probesAfterMark = 8;
/// Most instances that are probed in a round.
constexpr std::size_t maxProbes = 32;
/// Most writes to the store after a round.
constexpr std::size_t maxWrites = 4;
/// One that has taken a mark back is out of this instance's reach only.
constexpr duration sparedFor = std::chrono::minutes(10);

auto ringOrder(const instance_entry &entry)
{
    return std::tie(entry.dataCentre, entry.name);
}

/// Counts the probe of the last round if it has no reply.
void countLastProbe(probed_instance &instance)
{
    if (instance.sent == 0 || instance.replied >= instance.sent) {
        instance.unanswered = 0;
        instance.unansweredSinceMark = 0;
        return;
    }
    instance.unanswered += 1;
    instance.unansweredSinceMark += instance.entry.leaving ? 1 : 0;
}

/// The most that can be done now about one that is silent.
void chooseWrite(const instance_liveness &liveness, const probed_instance &instance, liveness_actions &actions, time_point now)
{
    if (instance.unanswered < probesBeforeMark || actions.marks.size() + actions.removals.size() >= maxWrites) {
        return;
    }
    if (instance.entry.leaving) {
        if (instance.unanswered >= probesBeforeRemoval && instance.unansweredSinceMark >= probesAfterMark) {
            actions.removals.push_back(instance.entry);
        }
        return;
    }
    const auto spared = liveness.sparedUntil.find(instance.entry.name);
    if (spared == liveness.sparedUntil.end() || spared->second <= now) {
        actions.marks.push_back(instance.entry);
    }
}

} // namespace

void onEntries(instance_liveness &liveness, const std::vector<instance_entry> &entries, time_point now)
{
    std::vector<instance_entry> ordered = entries;
    std::ranges::sort(ordered, {}, ringOrder);
    auto own = std::ranges::find(ordered, liveness.self, &instance_entry::name);
    liveness.others.clear();
    if (own == ordered.end()) {
        // Its own entry is missing for a moment; it comes back.
        return;
    }
    std::rotate(ordered.begin(), own, ordered.end());
    liveness.others.assign(ordered.begin() + 1, ordered.end());
    std::erase_if(liveness.probed, [&](const auto &probed) {
        return std::ranges::find(liveness.others, probed.first, &instance_entry::name) == liveness.others.end();
    });
    for (const instance_entry &entry : liveness.others) {
        const auto found = liveness.probed.find(entry.name);
        if (found == liveness.probed.end() || found->second.entry.position == entry.position) {
            continue;
        }
        probed_instance &instance = found->second;
        if (instance.markedAt && entry.position > *instance.markedAt) {
            // Whoever wrote it after the mark: the instance itself, or another that knows better.
            instance.markedAt.reset();
            if (!entry.leaving) {
                liveness.sparedUntil[entry.name] = now + sparedFor;
            }
        }
        instance.entry = entry;
        instance.unansweredSinceMark = 0;
    }
    std::erase_if(liveness.sparedUntil, [&](const auto &spared) {
        return spared.second <= now;
    });
}

void onProbeReply(instance_liveness &liveness, const instance_name &from, std::uint64_t round)
{
    const auto found = liveness.probed.find(from);
    if (found != liveness.probed.end() && round <= found->second.sent) {
        found->second.replied = std::max(found->second.replied, round);
    }
}

void onMarked(instance_liveness &liveness, const instance_name &name, store_position position)
{
    const auto found = liveness.probed.find(name);
    if (found != liveness.probed.end()) {
        found->second.markedAt = position;
    }
}

liveness_actions advance(instance_liveness &liveness, time_point now)
{
    liveness_actions actions;
    if (now < liveness.nextRoundAt) {
        return actions;
    }
    liveness.nextRoundAt = now + roundInterval;
    liveness.round += 1;
    std::map<instance_name, probed_instance> probed;
    // As many that may be silent as well are probed as are known to be, and one more.
    std::size_t silent = 0;
    std::size_t unknown = 0;
    for (const instance_entry &entry : liveness.others) {
        if (actions.probes.size() >= maxProbes || unknown > silent) {
            break;
        }
        const auto known = liveness.probed.find(entry.name);
        probed_instance instance = known == liveness.probed.end() ? probed_instance{.entry = entry} : known->second;
        countLastProbe(instance);
        chooseWrite(liveness, instance, actions, now);
        instance.sent = liveness.round;
        actions.probes.push_back(entry);
        const bool isSilent = instance.unanswered >= probesBeforeNext;
        const bool lives = !isSilent && instance.replied > 0;
        silent += isSilent ? 1 : 0;
        unknown += isSilent ? 0 : 1;
        probed.emplace(entry.name, std::move(instance));
        if (lives) {
            break;
        }
    }
    liveness.probed = std::move(probed);
    return actions;
}

} // namespace mustardrouter
