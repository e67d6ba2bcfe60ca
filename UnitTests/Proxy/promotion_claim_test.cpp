#include "mustardrouter/Proxy/promotion_claim.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

fence_number fenceAt(std::uint64_t era, std::uint64_t revision)
{
    return fenceOf({store_era(era), store_revision(revision)});
}

} // namespace

TEST_GROUP(promotion_claim){};

// Guards against instances that end by themselves at a failover because the store counts from a large number.
TEST(promotion_claim, fencesRiseWithRevisionsOfAnySize)
{
    std::uint64_t before = 0;
    for (const std::uint64_t revision : {std::uint64_t{1},
                                         (std::uint64_t{1} << 40) - 1,
                                         std::uint64_t{1} << 40,
                                         std::uint64_t{1'796'428'800'000},
                                         std::uint64_t{1'796'428'800'001},
                                         std::uint64_t{1} << 62}) {
        CHECK_TRUE(fenceAt(0, before) < fenceAt(0, revision));
        CHECK_TRUE(fenceAt(3, before) < fenceAt(3, revision));
        before = revision;
    }
}

TEST(promotion_claim, fencesRiseWithTheEraThoughRevisionsAreGivenOutAgain)
{
    CHECK_TRUE(fenceAt(1, 500) < fenceAt(2, 7));
    CHECK_TRUE(fenceAt(1, 1'796'428'800'900) < fenceAt(2, 1'796'428'800'001));
}
