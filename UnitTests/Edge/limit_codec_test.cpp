#include "mustardrouter/Edge/limit_codec.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

limit_message throughTheWire(const limit_message &message)
{
    relay::relay_message parsed;
    CHECK_TRUE(parsed.ParseFromString(encodeLimitMessage(message).SerializeAsString()));
    CHECK_TRUE(parsed.has_limit());
    const std::optional<limit_message> decoded = decodeLimitMessage(parsed.limit());
    CHECK_TRUE(decoded.has_value());
    return *decoded;
}

} // namespace

TEST_GROUP(limit_codec){};

TEST(limit_codec, everyMessageComesBackAsItWas)
{
    const instance_name from("i-1");
    const time_point stamp(duration(123456789012));
    const std::vector<limit_message> messages{
        {from, limit_poll{stamp, 3}},
        {from, limit_loans{stamp, {{0, 24, true, loan_tokens::moving}, {1, 0, false, loan_tokens::none}}}},
        {from, limit_return{stamp, 2}},
        {from, limit_request{stamp, {{workspace_name("red"), 1, 2, 3, 4, 5, 6}, {workspace_name("bl\xff"), 1, 0, 0, 0, 0, 0}}}},
        {from,
         limit_grants{stamp,
                      77,
                      {{workspace_name("red"), grant_status::decided, 3, 1, duration(1500)},
                       {workspace_name("blue"), grant_status::noPool, 0, 0, {}}}}},
        {from, limit_join{}},
        {from, limit_join_known{}},
    };
    for (const limit_message &message : messages) {
        CHECK_TRUE(throughTheWire(message) == message);
    }
}

TEST(limit_codec, unknownKindsAndValuesAreNotTakenForOthers)
{
    CHECK_FALSE(decodeLimitMessage(relay::limit_message()).has_value());
    relay::limit_message grants;
    grants.mutable_grants()->add_grants()->set_status(99);
    grants.mutable_grants()->mutable_grants(0)->set_retry_after_us(~0ULL);
    const std::optional<limit_message> decoded = decodeLimitMessage(grants);
    const limit_grant &grant = std::get<limit_grants>(decoded->content).grants.front();
    CHECK_TRUE(grant.status == grant_status::noPool);
    CHECK_TRUE(grant.retryAfter == std::chrono::seconds(60));
}
