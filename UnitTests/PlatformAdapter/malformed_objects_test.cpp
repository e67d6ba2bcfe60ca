#include "platform/stored_objects.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

constexpr store_era era{1};

/// Deeper than the JSON reader accepts.
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_GROUP(malformed_objects){};

TEST(malformed_objects, aBodyThatIsNestedTooDeeplyIsNoObject)
{
    for (const std::size_t depth : {std::size_t(999), std::size_t(1001), std::size_t(100'000)}) {
        const std::string content = nested(depth);
        CHECK_FALSE(platform::decodePage(content, era).has_value());
        const auto changes = platform::decodeChanges("{\"as_of\":1,\"events\":" + content + "}", era);
        CHECK_TRUE(changes && changes->changes.empty());
        CHECK_EQUAL(depth > 1000 ? 1U : 0U, changes ? changes->unreadable : 0U);
        platform::decodeObject(R"({"meta":{"name":"main","revision":4},"spec":)" + content + "}", era);
    }
}
