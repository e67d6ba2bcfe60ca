#pragma once

#include "mustardrouter/Core/ids.h"

namespace mustardrouter
{

/// What the limits need to know of a listed instance.
struct limit_instance {
    instance_name name;
    /// Its share of a processor core; instances with more are pools more often.
    double capacity = 1;
    bool leaving = false;
    /// Others have found it silent, and it has not left itself: it is no pool, but may live and spend its share.
    bool unresponsive = false;

    bool operator==(const limit_instance &) const = default;
};

} // namespace mustardrouter
