#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <cstdint>

namespace mustardrouter
{

/// The latest claim to the right to order a promotion in a group, as the platform's store has it.
struct promotion_claim {
    /// Position of the claim in the store; revision 0 when none was written in this era.
    store_position position;
    /// Highest term that the claimant had seen.
    term_number term;
    /// Database that the claimant chose.
    database_name successor;
    /// Successor of the claim before, if the claimant had not seen it become primary: its promotion may still be carried out.
    /// Empty otherwise.
    database_name unsettledSuccessor;

    bool exists() const
    {
        return position.revision != store_revision{};
    }
};

/// The fence of an order that is given under the claim at this position. It rises with the era, too, as revisions are given out again
/// in a later one.
fence_number fenceOf(const store_position &position);

} // namespace mustardrouter
