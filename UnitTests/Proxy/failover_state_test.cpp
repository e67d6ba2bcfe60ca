#include "mustardrouter/Proxy/failover_state.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

const database_name primaryName("a");
constexpr time_point now(100s);

database_state replica(std::uint64_t term, std::uint64_t number)
{
    database_state state;
    database_status status;
    status.term = term_number(term);
    status.received = {term_number(term), log_position(number)};
    state.status = status;
    state.statusAt = now - 100ms;
    state.logGrewAt = now - 5s;
    return state;
}

struct group_fixture {
    std::map<database_name, database_state> databases;
    proxy_settings settings;

    group_fixture()
    {
        databases[primaryName].suspectedSince = now - 2s;
        add("b", replica(1, 10));
        add("c", replica(1, 12));
    }
    void add(const char *name, database_state state)
    {
        state.listed.name = database_name(name);
        databases[database_name(name)] = std::move(state);
    }
    failover_view view(std::uint32_t sync = 0) const
    {
        return {&databases, primaryName, sync};
    }
};

} // namespace

TEST_GROUP(failover_state){};

TEST(failover_state, unresponsivePrimaryIsReplacedWhenReplicasReceiveNothing)
{
    const group_fixture group;
    CHECK_TRUE(causeOfFailover(group.view(), group.settings, now) == failover_cause::unresponsive);
    CHECK_TRUE(chooseSuccessor(group.view(), group.settings, now) == database_name("c"));
}

TEST(failover_state, primaryThatStillReplicatesIsNotReplaced)
{
    group_fixture group;
    group.databases[database_name("b")].logGrewAt = now - 200ms;
    CHECK_TRUE(causeOfFailover(group.view(), group.settings, now) == failover_cause::none);
}

TEST(failover_state, noFailoverWithoutFreshReplicaStatus)
{
    group_fixture group;
    group.databases[database_name("b")].statusAt = now - 5s;
    group.databases[database_name("c")].statusAt = now - 5s;
    CHECK_TRUE(causeOfFailover(group.view(), group.settings, now) == failover_cause::none);
}

TEST(failover_state, noFailoverBeforeTheTimeout)
{
    group_fixture group;
    group.databases[primaryName].suspectedSince = now - 300ms;
    CHECK_TRUE(causeOfFailover(group.view(), group.settings, now) == failover_cause::none);
}

TEST(failover_state, newerTermIsPreferredOverLongerLog)
{
    group_fixture group;
    group.add("b", replica(2, 5));
    CHECK_TRUE(chooseSuccessor(group.view(), group.settings, now) == database_name("b"));
}

TEST(failover_state, leavingReplicaIsNotChosen)
{
    group_fixture group;
    group.databases[database_name("c")].listed.leaving = true;
    CHECK_TRUE(chooseSuccessor(group.view(), group.settings, now) == database_name("b"));
}

TEST(failover_state, unresponsiveSynchronousReplicaBlocksTheChoice)
{
    group_fixture group;
    group.databases[database_name("b")].statusAt = now - 5s;
    CHECK_TRUE(chooseSuccessor(group.view(0), group.settings, now) == database_name("c"));
    CHECK_FALSE(chooseSuccessor(group.view(1), group.settings, now).has_value());
}

TEST(failover_state, noSynchronousReplicaIsChosenBeforeAllArePaused)
{
    group_fixture group;
    CHECK_FALSE(chooseSuccessor(group.view(1), group.settings, now).has_value());
    group.databases[database_name("b")].status->pausedUntilTerm = term_number(9);
    group.databases[database_name("c")].status->pausedUntilTerm = term_number(9);
    CHECK_TRUE(chooseSuccessor(group.view(1), group.settings, now) == database_name("c"));
}

TEST(failover_state, aLeavingReplicaThatIsAheadOfAllOthersIsChosenIfReplicasAreSynchronous)
{
    group_fixture group;
    for (const char *name : {"b", "c"}) {
        group.databases[database_name(name)].status->pausedUntilTerm = term_number(9);
    }
    group.databases[database_name("c")].listed.leaving = true;
    CHECK_TRUE(chooseSuccessor(group.view(0), group.settings, now) == database_name("b"));
    CHECK_TRUE(chooseSuccessor(group.view(1), group.settings, now) == database_name("c"));
    group.databases[database_name("b")].status->received = group.databases[database_name("c")].status->received;
    CHECK_TRUE(chooseSuccessor(group.view(1), group.settings, now) == database_name("b"));
}

TEST(failover_state, noSuccessorIsChosenWhileTheMostAdvancedReplicaIsNotListed)
{
    group_fixture group;
    for (const char *name : {"b", "c"}) {
        group.databases[database_name(name)].status->pausedUntilTerm = term_number(9);
    }
    group.databases[database_name("c")].unlistedSince = now - 500ms;
    CHECK_FALSE(chooseSuccessor(group.view(1), group.settings, now).has_value());
}

TEST(failover_state, aStatusOfBeforeTheClaimDoesNotCount)
{
    group_fixture group;
    group.databases[primaryName].suspectedSince = time_point{};
    failover_view view = group.view(1);
    CHECK_TRUE(chooseSuccessor(view, group.settings, now) == database_name("c"));
    view.statusesSince = now - 50ms;
    CHECK_FALSE(chooseSuccessor(view, group.settings, now).has_value());
}

TEST(failover_state, noSuccessorIsChosenWhileASilentPrimaryMayHaveTheOnlyCopyLeft)
{
    group_fixture group;
    for (const char *name : {"b", "c"}) {
        group.databases[database_name(name)].status->pausedUntilTerm = term_number(9);
    }
    group.databases[primaryName].lastReplyAt = now - 2s;
    group.databases[database_name("b")].startedAgainAt = now - 1s;
    CHECK_FALSE(chooseSuccessor(group.view(1), group.settings, now).has_value());
    group.databases[database_name("b")].startedAgainAt = now - 20s;
    CHECK_TRUE(chooseSuccessor(group.view(1), group.settings, now) == database_name("c"));
    group.databases[database_name("b")].startedAgainAt = now - 1s;
    group.databases.erase(primaryName);
    CHECK_TRUE(chooseSuccessor(group.view(1), group.settings, now) == database_name("c"));
}

TEST(failover_state, aHandOverWithoutTheWholeLogNeedsAllReplicasOfBefore)
{
    group_fixture group;
    failover_state watch;
    watch.steppingDown = primaryName;
    watch.successor = database_name("c");
    watch.replicas = {{database_name("b"), 0}, {database_name("c"), 0}};
    failover_view view = group.view(1);
    view.statusesSince = now - 200ms;
    CHECK_FALSE(isAheadOfReplicas(view, watch));
    group.add("a", replica(1, 14));
    CHECK_TRUE(isAheadOfReplicas(view, watch));
    group.databases[primaryName].status->primary = true;
    CHECK_FALSE(isAheadOfReplicas(view, watch));
    group.databases[primaryName].status->primary = false;
    group.databases[database_name("b")].listed.incarnation = 5;
    CHECK_FALSE(isAheadOfReplicas(view, watch));
    group.databases[database_name("b")].listed.incarnation = 0;
    group.databases[database_name("b")].status->received = {term_number(1), log_position(13)};
    CHECK_FALSE(isAheadOfReplicas(view, watch));
    group.databases.erase(database_name("b"));
    CHECK_FALSE(isAheadOfReplicas(view, watch));
}
