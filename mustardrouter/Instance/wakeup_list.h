#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// Next wakeup time of each group's engine, so that a tick steps only the engines that are due.
class wakeup_list
{
public:
    /// Sets a group's wakeup time; time_point::max() means never.
    void set(const group_name &group, time_point at);
    /// Groups whose wakeup time has come. They stay due until their wakeup time is set again.
    std::vector<group_name> due(time_point now) const;

private:
    std::unordered_map<group_name, time_point> m_byGroup;
    std::set<std::pair<time_point, group_name>> m_byTime;
};

} // namespace mustardrouter
