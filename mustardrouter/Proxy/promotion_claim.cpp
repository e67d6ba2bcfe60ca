#include "mustardrouter/Proxy/promotion_claim.h"

#include <cassert>

namespace mustardrouter
{

fence_number fenceOf(const store_position &position)
{
    constexpr unsigned revisionBits = 40;
    assert(position.revision.value() < std::uint64_t{1} << revisionBits);
    return fence_number((position.era.value() << revisionBits) + position.revision.value());
}

} // namespace mustardrouter
