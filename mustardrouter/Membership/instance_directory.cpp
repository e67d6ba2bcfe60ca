#include "mustardrouter/Membership/instance_directory.h"

#include <set>

namespace mustardrouter
{

bool mergeInstance(instance_directory &directory, const instance_view &view)
{
    seen_life &newest = directory.newestAt[view.address];
    if (view.incarnation < newest.incarnation) {
        return false;
    }
    bool changed = false;
    if (view.incarnation > newest.incarnation) {
        // The earlier life at this address is over.
        changed = directory.instances.erase(newest.name) > 0;
        newest = {view.name, view.incarnation};
    }
    const auto [found, added] = directory.instances.try_emplace(view.name, view);
    if (added) {
        return true;
    }
    const bool leaves = view.leaving && !found->second.leaving;
    found->second.leaving = found->second.leaving || view.leaving;
    return changed || leaves;
}

bool mergeList(instance_directory &directory, const std::vector<instance_view> &list)
{
    bool changed = false;
    std::set<instance_name> named;
    for (const instance_view &view : list) {
        named.insert(view.name);
        changed = mergeInstance(directory, view) || changed;
    }
    const std::size_t dropped = std::erase_if(directory.instances, [&](const auto &item) {
        return !named.contains(item.first);
    });
    return changed || dropped > 0;
}

std::vector<instance_view> liveInstances(const instance_directory &directory)
{
    std::vector<instance_view> live;
    for (const auto &[name, view] : directory.instances) {
        if (!view.leaving) {
            live.push_back(view);
        }
    }
    return live;
}

} // namespace mustardrouter
