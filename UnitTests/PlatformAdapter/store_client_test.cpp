#include "platform/store_client.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(store_client){};

TEST(store_client, onlyAStaleTolerantWatchSetsAllowStale)
{
    const platform::http_request late = platform::watchRequest(platform::databaseKind, 7, 30s, 31s, true);
    CHECK_EQUAL(std::string("/v1/objects/servers?watch=7&wait_ms=30000&allow_stale=1"), late.target);
    const platform::http_request exact = platform::watchRequest(platform::configurationKind, 7, 30s, 31s, false);
    CHECK_EQUAL(std::string("/v1/objects/config?watch=7&wait_ms=30000"), exact.target);
    // A list must never be stale: an older list after a newer one would restore removed objects.
    CHECK_EQUAL(std::string("/v1/objects/servers"), platform::listRequest(platform::databaseKind, {}).target);
}
