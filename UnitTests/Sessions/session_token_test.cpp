#include "mustardrouter/Sessions/session_token.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

session_floors_by_group someFloors()
{
    return {{group_name("bookings-1"), {term_number(7), log_position(123456)}},
            {group_name("bookings-2"), {term_number(300), log_position(1)}}};
}

bool isRefused(const std::string &token, const std::string &key)
{
    const auto decoded = decodeToken(token, key);
    return std::holds_alternative<failure>(decoded) && std::get<failure>(decoded) == failure::badSessionToken;
}

rc::Gen<session_floors_by_group> anyFloors()
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

TEST(session_token, carriesAnyFloors)
{
    CHECK(rc::check("a token gives back what it was made of", [] {
        const session_floors_by_group floors = *anyFloors();
        const auto decoded = decodeToken(encodeToken(floors, "key"), "key");
        RC_ASSERT(std::get<session_floors_by_group>(decoded) == floors);
    }));
}

TEST(session_token, refusesEverySingleBitOfDamage)
{
    const std::string token = encodeToken(someFloors(), "key");
    constexpr int bitsPerLetter = 8;
    for (std::size_t letter = 0; letter < token.size(); ++letter) {
        for (int bit = 0; bit < bitsPerLetter; ++bit) {
            std::string damaged = token;
            damaged[letter] = static_cast<char>(damaged[letter] ^ (1 << bit));
            CHECK(isRefused(damaged, "key"));
        }
    }
}

TEST(session_token, refusesEveryCutAndAddition)
{
    const std::string token = encodeToken(someFloors(), "key");
    for (std::size_t length = 1; length < token.size(); ++length) {
        CHECK(isRefused(token.substr(0, length), "key"));
    }
    CHECK(isRefused(token + "AAAA", "key"));
    CHECK(isRefused(token + " ", "key"));
    CHECK(isRefused(" " + token, "key"));
}

TEST(session_token, refusesAnotherDeploymentsKey)
{
    CHECK(isRefused(encodeToken(someFloors(), "key"), "other key"));
}

TEST(session_token, anEmptyTokenHasNoFloors)
{
    CHECK(std::get<session_floors_by_group>(decodeToken("", "key")).empty());
}

TEST(session_token, aFloorNeverFalls)
{
    session_floors_by_group floors = someFloors();
    raiseFloor(floors, group_name("bookings-1"), {term_number(6), log_position(999999)});
    CHECK(floors == someFloors());
    raiseFloor(floors, group_name("bookings-1"), {term_number(8), log_position(5)});
    CHECK(floors.at(group_name("bookings-1")).term == term_number(8));
}
