#include "mustardrouter/Sessions/session_token.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

session_floors_by_group sampleFloors()
{
    return {{group_name("bookings-1"), {term_number(7), log_position(123456)}},
            {group_name("bookings-2"), {term_number(300), log_position(1)}}};
}

bool isRejected(const std::string &token, const std::string &key)
{
    const auto decoded = decodeToken(token, key);
    return std::holds_alternative<failure>(decoded) && std::get<failure>(decoded) == failure::badSessionToken;
}

rc::Gen<session_floors_by_group> arbitraryFloors()
{
    const auto name = rc::gen::map(rc::gen::container<std::string>(rc::gen::arbitrary<char>()), [](std::string text) {
        return group_name(text.substr(0, 200));
    });
    const auto entry = rc::gen::map(rc::gen::arbitrary<std::pair<std::uint64_t, std::uint64_t>>(), [](const auto &numbers) {
        return log_entry{term_number(numbers.first), log_position(numbers.second)};
    });
    return rc::gen::container<session_floors_by_group>(name, entry);
}

} // namespace

TEST_GROUP(session_token){};

TEST(session_token, encodesAndDecodesAnyFloors)
{
    CHECK(rc::check("a token gives back what it was made of", [] {
        const session_floors_by_group floors = *arbitraryFloors();
        const auto decoded = decodeToken(encodeToken(floors, "key"), "key");
        RC_ASSERT(std::get<session_floors_by_group>(decoded) == floors);
    }));
}

TEST(session_token, rejectsEverySingleBitFlip)
{
    const std::string token = encodeToken(sampleFloors(), "key");
    constexpr int bitsPerLetter = 8;
    for (std::size_t character = 0; character < token.size(); ++character) {
        for (int bit = 0; bit < bitsPerLetter; ++bit) {
            std::string damaged = token;
            damaged[character] = static_cast<char>(damaged[character] ^ (1 << bit));
            CHECK(isRejected(damaged, "key"));
        }
    }
}

TEST(session_token, rejectsTruncatedAndExtendedTokens)
{
    const std::string token = encodeToken(sampleFloors(), "key");
    for (std::size_t length = 1; length < token.size(); ++length) {
        CHECK(isRejected(token.substr(0, length), "key"));
    }
    CHECK(isRejected(token + "AAAA", "key"));
    CHECK(isRejected(token + " ", "key"));
    CHECK(isRejected(" " + token, "key"));
}

TEST(session_token, rejectsATokenSignedWithAnotherKey)
{
    CHECK(isRejected(encodeToken(sampleFloors(), "key"), "other key"));
}

TEST(session_token, anEmptyTokenHasNoFloors)
{
    CHECK(std::get<session_floors_by_group>(decodeToken("", "key")).empty());
}

TEST(session_token, aFloorNeverFalls)
{
    session_floors_by_group floors = sampleFloors();
    raiseFloor(floors, group_name("bookings-1"), {term_number(6), log_position(999999)});
    CHECK(floors == sampleFloors());
    raiseFloor(floors, group_name("bookings-1"), {term_number(8), log_position(5)});
    CHECK(floors.at(group_name("bookings-1")).term == term_number(8));
}
