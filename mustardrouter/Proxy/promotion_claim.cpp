#include "mustardrouter/Proxy/promotion_claim.h"

#include <algorithm>

namespace mustardrouter
{

std::vector<database_name> unsettledAfter(const promotion_claim &claim, bool settled)
{
    std::vector<database_name> unsettled = claim.unsettledSuccessors;
    if (claim.exists() && !settled && std::ranges::find(unsettled, claim.successor) == unsettled.end()) {
        unsettled.push_back(claim.successor);
    }
    return unsettled;
}

bool mayPromote(const promotion_claim &claim, const database_name &database)
{
    return claim.successor == database || std::ranges::find(claim.unsettledSuccessors, database) != claim.unsettledSuccessors.end();
}

fence_number fenceOf(const store_position &position)
{
    constexpr unsigned revisionBits = 40;
    return fence_number((position.era.value() << revisionBits) + position.revision.value());
}

} // namespace mustardrouter
