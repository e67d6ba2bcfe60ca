#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <vector>

namespace mustardrouter
{

/// The latest claim to the right to order a promotion in a group, as the platform's store has it.
struct promotion_claim {
    /// Position of the claim in the store; revision 0 when none was written in this era.
    store_position position;
    /// Highest term that this claimant or one before had seen.
    term_number term;
    /// Database that the claimant chose.
    database_name successor;
    /// Successors of earlier claims that the next claimant had not seen become primary: their promotions may still be carried out.
    std::vector<database_name> unsettledSuccessors;

    bool exists() const
    {
        return position.revision != store_revision{};
    }
};

/// The unsettled successors of the claim that follows this one. `settled`: its successor has become primary.
std::vector<database_name> unsettledAfter(const promotion_claim &claim, bool settled);

/// Whether an order for the database under this claim or an earlier one may still be carried out.
bool mayPromote(const promotion_claim &claim, const database_name &database);

/// The fence of an order that is given under the claim at this position. It rises with the revision, however large that is, and with the
/// era, too, as revisions are given out again in a later one: a store that returns from an older copy loses fewer than 2^40 of them.
fence_number fenceOf(const store_position &position);

} // namespace mustardrouter
