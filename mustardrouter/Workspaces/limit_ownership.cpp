#include "mustardrouter/Workspaces/limit_ownership.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Beyond the members these many ranks are told of a join too: as many may join at the same time.
constexpr std::size_t ranksBeyondMembers = 6;
constexpr duration joinInterval = std::chrono::milliseconds(300);
/// An instance that does not reply for this long may be regarded as stopped, if its share is within the room for lists that differ.
constexpr duration fewMissingAfter = std::chrono::seconds(2);
constexpr double fewMissingShare = 0.05;
/// The same, however many they are.
constexpr duration anyMissingAfter = std::chrono::seconds(30);
/// A join that the list does not confirm for this long counts no more.
constexpr duration heardValidFor = std::chrono::seconds(60);
/// The same where the list has this instance as leaving: it may be the entry of before.
constexpr duration heardAgainstListFor = std::chrono::seconds(10);
/// Regions lose each other for minutes.
constexpr duration removedCountsFor = std::chrono::minutes(10);

/// The list, with the instances that were removed from it and may live.
std::vector<limit_instance> withRemoved(limit_ownership &ownership, const std::vector<limit_instance> &listed, time_point now)
{
    for (const limit_instance &before : ownership.listed) {
        if (!before.leaving && !ownership.removed.contains(before.name)) {
            ownership.removed[before.name] = now + removedCountsFor;
        }
    }
    for (const limit_instance &instance : listed) {
        ownership.removed.erase(instance.name);
    }
    std::erase_if(ownership.removed, [&](const auto &removed) {
        return removed.second <= now;
    });
    std::vector<limit_instance> all = listed;
    for (const auto &[name, until] : ownership.removed) {
        all.push_back({.name = name, .unresponsive = true});
    }
    return all;
}

bool isInList(const limit_ownership &ownership, const instance_name &name)
{
    return std::ranges::any_of(ownership.listed, [&](const limit_instance &instance) {
        return instance.name == name && !instance.leaving;
    });
}

std::vector<instance_name> rankedInstances(const limit_ownership &ownership, std::size_t count)
{
    std::vector<instance_name> names;
    for (const limit_instance &instance : ownership.listed) {
        if (!instance.leaving && !ownership.heard.contains(instance.name)) {
            names.push_back(instance.name);
        }
    }
    for (const auto &[name, since] : ownership.heard) {
        names.push_back(name);
    }
    std::vector<instance_name> ranked;
    for (const std::size_t index : rankTopInstances("limit members", names, count)) {
        ranked.push_back(names[index]);
    }
    return ranked;
}

duration waitBeforeOwning(const limit_settings &settings)
{
    return settings.loanTime + 2 * settings.loanMargin;
}

bool isCounted(const limit_ownership &ownership, time_point now)
{
    if (!ownership.uncounted || ownership.uncounted->empty()) {
        return true;
    }
    if (ownership.joinSentAt == time_point{}) {
        // Nothing is sent before the configuration has a limit.
        return false;
    }
    const duration waited = now - ownership.joiningSince;
    const auto missing = static_cast<double>(ownership.uncounted->size());
    const bool few = missing <= fewMissingShare * static_cast<double>(ownership.members.size());
    return waited >= anyMissingAfter || (few && waited >= fewMissingAfter);
}

void computeMembers(limit_ownership &ownership, const limit_settings &settings, time_point now)
{
    const std::vector<instance_name> ranked = rankedInstances(ownership, settings.members + ranksBeyondMembers);
    ownership.members.assign(ranked.begin(), ranked.begin() + std::min<std::ptrdiff_t>(std::ssize(ranked), settings.members));
    if (ownership.uncounted) {
        ownership.uncounted->clear();
        for (const instance_name &name : ranked) {
            if (name != settings.self && !ownership.countedBy.contains(name)) {
                ownership.uncounted->insert(name);
            }
        }
    }
    const auto position = std::ranges::find(ownership.members, settings.self);
    const bool isMember = position != ownership.members.end() && !ownership.leaving;
    const auto share = isMember ? static_cast<std::uint32_t>(ownership.members.size()) : 0;
    ownership.rank = static_cast<std::uint32_t>(position - ownership.members.begin());
    if (share == 0) {
        ownership.owned = 0;
        ownership.expected = 0;
        return;
    }
    if (ownership.owned != 0 && share >= ownership.owned) {
        ownership.owned = share;
    }
    if (ownership.expected == 0 || share < ownership.expected) {
        ownership.expectedSince = now;
    }
    ownership.expected = share;
}

} // namespace

void onOwnershipList(limit_ownership &ownership, const limit_settings &settings, const std::vector<limit_instance> &listed, time_point now)
{
    ownership.listed = withRemoved(ownership, listed, now);
    if (!ownership.listReceived) {
        ownership.listReceived = true;
        if (!isInList(ownership, settings.self)) {
            ownership.uncounted.emplace();
            ownership.joiningSince = now;
        }
    }
    std::erase_if(ownership.heard, [&](const auto &heard) {
        const bool inList = std::ranges::any_of(listed, [&](const limit_instance &instance) {
            return instance.name == heard.first;
        });
        return isInList(ownership, heard.first) || now - heard.second > (inList ? heardAgainstListFor : heardValidFor);
    });
    computeMembers(ownership, settings, now);
    updateOwnership(ownership, settings, now);
}

void onJoinHeard(limit_ownership &ownership, const limit_settings &settings, const instance_name &from, time_point now)
{
    if (isInList(ownership, from) || from == settings.self) {
        return;
    }
    ownership.heard[from] = now;
    computeMembers(ownership, settings, now);
}

void onCounted(limit_ownership &ownership, const instance_name &by, time_point now)
{
    if (!ownership.uncounted) {
        return;
    }
    ownership.countedBy.insert(by);
    if (ownership.uncounted->erase(by) > 0) {
        // What the other instance had lent runs out only from now on.
        ownership.expectedSince = std::max(ownership.expectedSince, now);
    }
}

void updateOwnership(limit_ownership &ownership, const limit_settings &settings, time_point now)
{
    if (ownership.expected == 0 || ownership.expected == ownership.owned || now - ownership.expectedSince < waitBeforeOwning(settings)) {
        return;
    }
    if (isCounted(ownership, now)) {
        ownership.owned = ownership.expected;
        ownership.uncounted.reset();
    }
}

std::vector<instance_name> joinsToSend(limit_ownership &ownership, time_point now)
{
    if (!ownership.uncounted || ownership.expected == 0 || now - ownership.joinSentAt < joinInterval) {
        return {};
    }
    if (ownership.joinSentAt == time_point{}) {
        ownership.joiningSince = now;
    }
    ownership.joinSentAt = now;
    return {ownership.uncounted->begin(), ownership.uncounted->end()};
}

std::optional<time_point> nextOwnershipChange(const limit_ownership &ownership, const limit_settings &settings)
{
    if (ownership.expected == 0 || ownership.expected == ownership.owned) {
        return std::nullopt;
    }
    const time_point mayOwn = ownership.expectedSince + waitBeforeOwning(settings);
    if (ownership.uncounted && !ownership.uncounted->empty()) {
        return ownership.joinSentAt + joinInterval;
    }
    return mayOwn;
}

} // namespace mustardrouter
