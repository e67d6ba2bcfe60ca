#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Core/ids.h"

namespace mustardrouter
{

/// Changes from one revision to a later one. Applies to `from` only, not to revisions in between: an
/// object that was created and removed after `from` is not listed.
struct configuration_delta {
    revision_number from;
    revision_number to;
    change_set changes;
    /// `changes` holds all objects of `to` and replaces any earlier snapshot.
    bool whole = false;
    bool operator==(const configuration_delta &) const = default;
};

} // namespace mustardrouter
