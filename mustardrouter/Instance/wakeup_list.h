#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// When each group's engine needs the clock next, so that a tick costs as much as there is to do.
class wakeup_list
{
public:
    /// Sets a group's instant; the end of time means never.
    void set(const group_name &group, time_point at);
    /// Groups whose instant has come. They stay due until their instant is set again.
    std::vector<group_name> due(time_point now) const;

private:
    std::unordered_map<group_name, time_point> m_byGroup;
    std::set<std::pair<time_point, group_name>> m_byInstant;
};

} // namespace mustardrouter
