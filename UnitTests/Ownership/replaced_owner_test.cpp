#include "mustardrouter/Ownership/group_ownership.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(replaced_owner)
{
    time_point now{std::chrono::seconds(10)};
    group_ownership state{group_name("group"), instance_name("self"), "address", {database_name("db0")}, ownership_settings{}};

    ownership_actions handle(const ownership_event &event)
    {
        ownership_actions actions;
        step(state, event, now, actions);
        return actions;
    }

    static std::optional<ownership_record> written(const ownership_actions &actions)
    {
        for (const ownership_action &action : actions) {
            if (const auto *write = std::get_if<write_record>(&action)) {
                return write->record;
            }
        }
        return std::nullopt;
    }
};

// Guards against a group without an owner after a deputy took over while the platform was down and failed before the
// record named it.
TEST(replaced_owner, claimsAgainWhenItsSuccessorIsUnresponsiveToo)
{
    ownership_record record;
    record.version = 1;
    record.ranges = {{instance_name("self"), "address", term_number(1), term_number(16)},
                     {instance_name("deputy"), "other", term_number(17), term_number(32)}};
    handle(owner_candidates_changed{record.ranges});
    handle(record_read{record});
    CHECK(state.role == ownership_role::owner);
    handle(term_refused{term_number(17)});
    CHECK(state.role == ownership_role::bystander);
    handle(record_read{record});
    CHECK(!written(handle(clock_ticked{})));
    now += state.settings.ownerHeartbeatTimeout * 3;
    const std::optional<ownership_record> claim = written(handle(clock_ticked{}));
    CHECK(claim.has_value());
    CHECK(claim->ranges.front().holder == instance_name("self"));
    CHECK(claim->ranges.front().first > term_number(32));
}
