#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Core/ids.h"

namespace mustardrouter
{

/// What leads from one revision to a later one. It fits `from` alone: an object that came and went
/// in between is not in it.
struct configuration_delta {
    revision_number from;
    revision_number to;
    change_set changes;
    /// The changes are all objects of `to`, whatever was known before.
    bool whole = false;
    bool operator==(const configuration_delta &) const = default;
};

} // namespace mustardrouter
