#include "mustardrouter/Membership/instance_directory.h"

#include <algorithm>
#include <set>

namespace mustardrouter
{

namespace
{

/// Number of addresses above which those of removed instances are discarded.
constexpr std::size_t maxRememberedAddresses = 4096;

void pruneAddresses(instance_directory &directory)
{
    if (directory.newestByAddress.size() <= maxRememberedAddresses) {
        return;
    }
    std::set<std::string> used;
    for (const auto &[name, known] : directory.instances) {
        used.insert(known.view.address);
    }
    std::erase_if(directory.newestByAddress, [&](const auto &item) {
        return !used.contains(item.first);
    });
}

/// Merges one view; null when it belongs to an earlier incarnation.
known_instance *mergeView(instance_directory &directory, const instance_view &view, bool &changed)
{
    address_incarnation &newest = directory.newestByAddress[view.address];
    if (view.incarnation < newest.incarnation) {
        return nullptr;
    }
    if (view.incarnation > newest.incarnation) {
        // The earlier incarnation at this address has ended.
        changed = directory.instances.erase(newest.name) > 0 || changed;
        newest = {view.name, view.incarnation};
        pruneAddresses(directory);
    }
    const auto [found, added] = directory.instances.try_emplace(view.name, known_instance{view});
    instance_view &known = found->second.view;
    changed = changed || added || (view.leaving && !known.leaving);
    known.leaving = known.leaving || view.leaving;
    return &found->second;
}

bool hasRecentMessage(const known_instance &known, const directory_settings &settings, time_point now)
{
    return known.lastMessageAt != time_point{} && now - known.lastMessageAt < settings.unlistedValidFor && !known.unreachableSince;
}

} // namespace

bool mergeSelfReport(instance_directory &directory, const instance_view &view, time_point now)
{
    bool changed = false;
    known_instance *known = mergeView(directory, view, changed);
    if (known != nullptr) {
        known->lastMessageAt = now;
        changed = changed || known->unreachableSince;
        known->unreachableSince.reset();
    }
    return changed;
}

bool mergeInstanceList(instance_directory &directory, const std::vector<instance_view> &list, time_point now)
{
    bool changed = false;
    for (auto &[name, known] : directory.instances) {
        known.listed = false;
    }
    for (const instance_view &view : list) {
        known_instance *known = mergeView(directory, view, changed);
        if (known != nullptr) {
            known->listed = true;
        }
    }
    const std::size_t dropped = std::erase_if(directory.instances, [&](const auto &item) {
        return !item.second.listed && !hasRecentMessage(item.second, directory.settings, now);
    });
    return changed || dropped > 0;
}

bool markUnreachable(instance_directory &directory, const instance_name &name, time_point now)
{
    const auto found = directory.instances.find(name);
    if (found == directory.instances.end()) {
        return false;
    }
    known_instance &known = found->second;
    if (!known.listed) {
        directory.instances.erase(found);
        return true;
    }
    if (known.unreachableSince) {
        return false;
    }
    known.unreachableSince = now;
    return true;
}

bool expireInstances(instance_directory &directory, time_point now)
{
    const std::size_t dropped = std::erase_if(directory.instances, [&](const auto &item) {
        const known_instance &known = item.second;
        return known.unreachableSince && now - *known.unreachableSince > directory.settings.unreachableTimeout;
    });
    return dropped > 0;
}

std::vector<instance_view> liveInstances(const instance_directory &directory, time_point now)
{
    std::vector<instance_view> live;
    for (const auto &[name, known] : directory.instances) {
        const bool unreachable = known.unreachableSince && now - *known.unreachableSince < directory.settings.unreachableHoldDown;
        if (!known.view.leaving && !unreachable) {
            live.push_back(known.view);
        }
    }
    return live;
}

std::vector<instance_view> allInstances(const instance_directory &directory)
{
    std::vector<instance_view> all;
    for (const auto &[name, known] : directory.instances) {
        all.push_back(known.view);
    }
    return all;
}

} // namespace mustardrouter
