#include "mustardrouter/Instance/wakeup_list.h"

namespace mustardrouter
{

void wakeup_list::set(const group_name &group, time_point at)
{
    const auto [found, added] = m_byGroup.try_emplace(group, at);
    if (!added) {
        if (found->second == at) {
            return;
        }
        m_byTime.erase({found->second, group});
        found->second = at;
    }
    if (at != time_point::max()) {
        m_byTime.emplace(at, group);
    }
}

std::vector<group_name> wakeup_list::due(time_point now) const
{
    std::vector<group_name> groups;
    for (const auto &[at, group] : m_byTime) {
        if (at > now) {
            break;
        }
        groups.push_back(group);
    }
    return groups;
}

} // namespace mustardrouter
