#include "mustardrouter/Sessions/session_table.h"

#include <rapidcheck.h>

#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

log_entry entryAt(std::uint64_t position)
{
    return {term_number(1), log_position(position)};
}

} // namespace

TEST_GROUP(session_table){};

TEST(session_table, anEvictedSessionGetsAFloorThatCoversItsOwn)
{
    session_table table(2);
    raiseSessionFloor(table, session_name("a"), entryAt(9));
    raiseSessionFloor(table, session_name("b"), entryAt(3));
    raiseSessionFloor(table, session_name("c"), entryAt(4));
    CHECK(!knownFloorOf(table, session_name("a")));
    CHECK(floorOf(table, session_name("a")) == entryAt(9));
    CHECK(floorOf(table, session_name("stranger")) == entryAt(9));
    CHECK(floorOf(table, session_name("c")) == entryAt(4));
}

TEST(session_table, aRecentlyUsedSessionIsNotEvicted)
{
    session_table table(2);
    raiseSessionFloor(table, session_name("a"), entryAt(1));
    raiseSessionFloor(table, session_name("b"), entryAt(2));
    floorOf(table, session_name("a"));
    raiseSessionFloor(table, session_name("c"), entryAt(3));
    CHECK(knownFloorOf(table, session_name("a")).has_value());
    CHECK(!knownFloorOf(table, session_name("b")));
}

TEST(session_table, aNewTermStartsFromItsBarrier)
{
    session_table table(2);
    raiseSessionFloor(table, session_name("a"), entryAt(9));
    const log_entry barrier{term_number(2), log_position(7)};
    resetFloors(table, barrier);
    CHECK(floorOf(table, session_name("a")) == barrier);
}

TEST(session_table, neverLowersAFloorAndNeverExceedsItsCapacity)
{
    CHECK(rc::check("any sequence of floors", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 6);
        session_table table(capacity);
        std::map<std::string, std::uint64_t> raised;
        const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint16_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, 10), rc::gen::arbitrary<std::uint16_t>()));
        for (const auto &[session, position] : steps) {
            const std::string name = "s" + std::to_string(session);
            raiseSessionFloor(table, session_name(name), entryAt(position));
            raised[name] = std::max<std::uint64_t>(raised[name], position);
            RC_ASSERT(table.byRecency.size() <= capacity);
            RC_ASSERT(table.byRecency.size() == table.bySession.size());
        }
        for (const auto &[name, position] : raised) {
            RC_ASSERT(floorOf(table, session_name(name)) >= entryAt(position));
        }
    }));
}
