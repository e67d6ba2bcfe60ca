#pragma once

#include "mustardrouter/Core/ids.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// One instance of the system as it announces itself in the platform's store.
struct listed_instance {
    instance_name name;
    /// IP:PORT on which it takes statements that other instances relay.
    std::string relayAddress;
    std::string dataCentre;
    /// Its share of a processor core; instances with more hold connections for more groups.
    double capacity = 1;
    bool leaving = false;
    /// It is marked as leaving by another instance, which gets no replies from it.
    bool unresponsive = false;

    bool operator==(const listed_instance &) const = default;
};

using instance_listing = std::vector<listed_instance>;

} // namespace mustardrouter
