#include "platform/store_client.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(store_client){};

TEST(store_client, onlyAStaleTolerantWatchSetsAllowStale)
{
    const platform::http_request late = platform::watchRequest(platform::databaseKind, store_revision(7), 30s, 31s, true);
    CHECK_EQUAL(std::string("/v1/objects/servers?watch=7&wait_ms=30000&allow_stale=1"), late.target);
    const platform::http_request exact = platform::watchRequest(platform::configurationKind, store_revision(7), 30s, 31s, false);
    CHECK_EQUAL(std::string("/v1/objects/config?watch=7&wait_ms=30000"), exact.target);
    // A list must never be stale: an older list after a newer one would restore removed objects.
    CHECK_EQUAL(std::string("/v1/objects/servers"), platform::listRequest(platform::databaseKind, {}).target);
}

TEST(store_client, aClaimOfAnEarlierEraIsAnotherObjectSoThatALateWriteCannotReplaceOneOfTheSameRevision)
{
    const group_name group("g");
    promotion_claim claim;
    claim.position = {store_era(1), store_revision(900)};
    const platform::http_request late = platform::writeClaimRequest(group, claim, "edge-1");
    CHECK_EQUAL(std::string("/v1/objects/mustardrouter-claims/g.1"), late.target);
    CHECK_EQUAL(std::string("/v1/objects/mustardrouter-claims/g.2"), platform::readClaimRequest(group, store_era(2)).target);
    CHECK_EQUAL(std::string("/v1/objects/mustardrouter-claims/g"), platform::readClaimRequest(group, store_era()).target);
}
