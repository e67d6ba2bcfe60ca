#include "mustardrouter/Ownership/group_ownership.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

const instance_name owner("owner");
const instance_name first("first");
const instance_name second("second");

ownership_record threeHolders()
{
    ownership_record record = nextRecord({}, term_number(0), {{owner, "", {}, {}}, {first, "", {}, {}}, {second, "", {}, {}}});
    record.version = 1;
    return record;
}

} // namespace

TEST_GROUP(resignation)
{
    ownership_settings settings;
    ownership_actions actions;
    time_point now{std::chrono::seconds(1)};

    group_ownership deputy(const instance_name &self)
    {
        group_ownership state(group_name("g"), self, "", {database_name("a"), database_name("b"), database_name("c")}, settings);
        step(state, record_read{threeHolders()}, now, actions);
        return state;
    }

    void receiveResignation(group_ownership & state)
    {
        step(state, heartbeat_received{owner, term_number(1), 1, true}, now, actions);
    }
};

TEST(resignation, theFirstDeputyTakesOverAtOnce)
{
    group_ownership state = deputy(first);
    receiveResignation(state);
    CHECK(state.role == ownership_role::claiming);
}

TEST(resignation, theSecondDeputyTakesOverWhenTheFirstIsGone)
{
    group_ownership state = deputy(second);
    receiveResignation(state);
    CHECK(state.role == ownership_role::deputy);
    now += settings.orderRetryInterval;
    receiveResignation(state);
    CHECK(state.role == ownership_role::claiming);
}
