#include "mustardrouter/Ownership/group_ownership.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

group_ownership makeOwnership()
{
    std::vector<database_name> names{database_name("d0"), database_name("d1"), database_name("d2")};
    return {group_name("g"), instance_name("self"), "10.0.0.1:1", std::move(names), ownership_settings{}};
}

term_range rangeOf(const std::string &holder, std::uint64_t first)
{
    return {instance_name(holder), "10.0.0.2:1", term_number(first), term_number(first + termsPerRange - 1)};
}

ownership_record recordWithSelfAt(std::size_t selfIndex)
{
    ownership_record record;
    record.version = 1;
    for (std::size_t index = 0; index < holdersPerGroup; ++index) {
        const std::string holder = index == selfIndex ? "self" : "other" + std::to_string(index);
        record.ranges.push_back(rangeOf(holder, 1 + index * termsPerRange));
    }
    return record;
}

owner_candidates_changed candidatesWithSelfAt(std::size_t selfIndex)
{
    owner_candidates_changed changed;
    for (std::size_t index = 0; index < holdersPerGroup + 2; ++index) {
        changed.ranking.push_back(rangeOf(index == selfIndex ? "self" : "other" + std::to_string(index), 0));
    }
    return changed;
}

ownership_event randomEvent(int kind, std::uint8_t number)
{
    switch (kind) {
    case 0:
        return record_read{recordWithSelfAt(1 + number % 4)};
    case 1:
        return candidatesWithSelfAt(number % 6);
    case 2:
        return heartbeat_received{instance_name("other0"), term_number(1), 1, number % 8 == 0};
    default:
        return record_request_failed{};
    }
}

} // namespace

// clang-format off
TEST_GROUP(next_wakeup) {};
// clang-format on

/// Guards against wakeups that come too late: an ownership that is ticked only from its wakeup on must behave like one
/// that gets every tick.
TEST(next_wakeup, ticksBeforeTheWakeupChangeNothing)
{
    const bool propertyHolds = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &script) {
        group_ownership tickedAlways = makeOwnership();
        group_ownership tickedOnWakeup = makeOwnership();
        time_point now{std::chrono::hours(1)};
        for (const auto &[kind, number] : script) {
            const ownership_event event = randomEvent(kind % 5, number);
            ownership_actions actionsTickedAlways;
            ownership_actions actionsTickedOnWakeup;
            step(tickedAlways, event, now, actionsTickedAlways);
            step(tickedOnWakeup, event, now, actionsTickedOnWakeup);
            for (int tick = 0; tick < number; ++tick) {
                now += std::chrono::milliseconds(5);
                step(tickedAlways, clock_ticked{}, now, actionsTickedAlways);
                if (now >= nextWakeup(tickedOnWakeup)) {
                    step(tickedOnWakeup, clock_ticked{}, now, actionsTickedOnWakeup);
                }
            }
            RC_ASSERT(actionsTickedAlways.size() == actionsTickedOnWakeup.size());
            for (std::size_t index = 0; index < actionsTickedAlways.size(); ++index) {
                RC_ASSERT(actionsTickedAlways[index].index() == actionsTickedOnWakeup[index].index());
            }
            RC_ASSERT(tickedAlways.role == tickedOnWakeup.role);
            RC_ASSERT(tickedAlways.recordRequestedAt == tickedOnWakeup.recordRequestedAt);
        }
    });
    CHECK(propertyHolds);
}

TEST(next_wakeup, aBystanderThatIsNoCandidateNeedsNoTicks)
{
    group_ownership state = makeOwnership();
    ownership_actions actions;
    step(state, ownership_event(candidatesWithSelfAt(holdersPerGroup)), time_point(std::chrono::hours(1)), actions);
    CHECK(nextWakeup(state) == time_point::max());
}
