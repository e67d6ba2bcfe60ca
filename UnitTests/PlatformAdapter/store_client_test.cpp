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

TEST(store_client, aMarkAndARemovalNameTheRevisionSoThatAnEntryThatWasWrittenSinceIsKept)
{
    const listed_instance lost{instance_name("edge-1"), "10.1.0.8:7441", "z", 0.5, true};
    const platform::http_request mark = platform::markInstanceRequest(lost, store_revision(8));
    CHECK_EQUAL(std::string("PUT"), mark.method);
    CHECK_TRUE(mark.body.find("\"revision\":8") != std::string::npos);
    CHECK_TRUE(mark.body.find("\"leaving\":true") != std::string::npos);
    const platform::http_request removal = platform::removeInstanceRequest(lost.name, store_revision(9));
    CHECK_EQUAL(std::string("DELETE"), removal.method);
    CHECK_TRUE(removal.target.ends_with("/edge-1?revision=9"));
}
