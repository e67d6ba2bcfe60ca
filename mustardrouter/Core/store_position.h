#pragma once

#include "mustardrouter/Core/strong_type.h"

#include <compare>
#include <cstdint>

namespace mustardrouter
{

/// Number of a history of the platform's store. It rises when the store returns from an older copy and loses what was written since;
/// 0 where the store names none.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;
/// Number of a change of the store; given out again in a later era.
using store_revision = strong_type<struct store_revision_tag, std::uint64_t>;

/// A position in the history of the platform's store.
struct store_position {
    store_era era;
    /// 0 stands for no change.
    store_revision revision;

    auto operator<=>(const store_position &) const = default;
};

} // namespace mustardrouter
