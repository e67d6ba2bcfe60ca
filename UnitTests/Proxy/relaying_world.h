#pragma once

#include "UnitTests/Proxy/proxy_world.h"

namespace mustardrouter
{

/// A simulation with an instance that holds the group's connections and one that relays to it.
struct relaying_world : proxy_world {
    explicit relaying_world(std::uint64_t seed = 7)
        : proxy_world(seed)
    {
        addGroup();
        configure(1);
        addEntry(1);
        runFor(std::chrono::seconds(3));
    }
    group_state &groupAtEntry()
    {
        return entry->groups.at(group_name("g"));
    }
};

} // namespace mustardrouter
