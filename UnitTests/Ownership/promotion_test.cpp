#include "UnitTests/Ownership/ownership_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(promotion){static log_entry entry(std::uint64_t term, std::uint64_t position){return ownership_fixture::entry(term, position);
}
}
;

TEST(promotion, nothingIsPromotedWithoutAQuorum)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    owner.reportFenced("a");
    owner.advance(1s);
    CHECK(owner.state.phase == promotion_phase::fencing);
    CHECK(availabilityProblem(owner.state, owner.now) == failure::noQuorum);
}

TEST(promotion, theHighestTermAndPositionWins)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    owner.state.term = term_number(9);
    owner.reportFenced("a", entry(1, 8));
    owner.reportFenced("b", entry(2, 3));
    owner.reportFenced("c", entry(2, 2));
    STRCMP_EQUAL("b", owner.state.primary.value().c_str());
}

TEST(promotion, theBarrierMustBeConfirmedBeforeServing)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    for (const char *name : {"a", "b", "c"}) {
        owner.reportFenced(name, entry(0, 4));
    }
    owner.report("a", 1, database_role::primary, entry(1, 5), false);
    owner.report("b", 1, database_role::replica, entry(0, 4));
    CHECK(!isServing(owner.state));
    owner.report("b", 1, database_role::replica, entry(0, 6), false); // Log entries that the primary lacks, not truncated yet.
    CHECK(!isServing(owner.state));
    owner.report("b", 1, database_role::replica, entry(1, 5));
    CHECK(isServing(owner.state));
}

TEST(promotion, aDatabaseThatWasUnreachableWhileConfirmingIsOrderedAgain)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    owner.reportFenced("a");
    owner.reportFenced("b");
    owner.advance(25ms);
    owner.report(owner.state.primary.value(), 1, database_role::primary, entry(1, 1), false);
    owner.handle(database_unreachable{database_name("c")});
    bool ordered = false;
    for (int tick = 0; tick < 40; ++tick) {
        owner.advance(5ms);
        for (const order_follow &order : owner.actionsOf<order_follow>()) {
            ordered = ordered || order.database.value() == "c";
        }
    }
    CHECK(ordered);
}

TEST(promotion, anUnansweredPromotionIsTriedInAHigherTermWithAnotherPrimary)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    for (const char *name : {"a", "b", "c"}) {
        owner.reportFenced(name);
    }
    const database_name first = owner.state.primary;
    owner.advanceWithReports(owner.state.settings.promotionTimeout + 20ms, {"a", "b", "c"});
    CHECK_EQUAL(2, owner.state.term.value());
    owner.reportFenced("a", first.value() == "a" ? entry(1, 1) : log_entry{});
    owner.reportFenced("b");
    owner.reportFenced("c");
    CHECK(owner.state.primary != first);
}

TEST(promotion, oneLostConnectionCausesNoFailover)
{
    ownership_fixture owner;
    owner.startServing();
    owner.handle(database_unreachable{database_name("a")});
    CHECK(isServing(owner.state));
    CHECK_EQUAL(1, owner.actionsOf<order_report>().size());
    owner.advance(20ms);
    owner.reportHealthy(1);
    owner.advance(100ms);
    CHECK(isServing(owner.state));
}

TEST(promotion, aSecondLostConnectionReplacesThePrimary)
{
    ownership_fixture owner;
    owner.startServing();
    owner.handle(database_unreachable{database_name("a")});
    owner.handle(database_unreachable{database_name("a")});
    CHECK(owner.state.phase == promotion_phase::fencing);
    CHECK_EQUAL(2, owner.state.term.value());
}

TEST(promotion, aLostConnectionAndAReplicaThatLostItsPrimaryReplaceThePrimary)
{
    ownership_fixture owner;
    owner.startServing();
    owner.handle(database_unreachable{database_name("a")});
    owner.report("b", 1, database_role::replica, entry(1, 1), false);
    owner.advance(5ms);
    CHECK(owner.state.phase == promotion_phase::fencing);
}

TEST(promotion, aPrimaryThatOnlyTheOwnerCannotReachIsReplacedByAnother)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advanceWithReports(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    CHECK_EQUAL(2, owner.state.term.value());
    owner.reportFenced("b", entry(1, 5));
    owner.reportFenced("c", entry(1, 6));
    STRCMP_EQUAL("c", owner.state.primary.value().c_str());
}

TEST(promotion, anUnresponsivePrimaryIsNotChosenAgainEvenWhenItAnswersTheFence)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advanceWithReports(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    owner.reportFenced("a", entry(1, 7));
    owner.reportFenced("b", entry(1, 6));
    owner.reportFenced("c", entry(1, 6));
    CHECK(owner.state.primary.value() != "a");
}

TEST(promotion, aSlowPrimaryIsKept)
{
    ownership_fixture owner;
    owner.startServing();
    for (int answer = 0; answer < 5; ++answer) {
        owner.advanceWithReports(200ms, {"b", "c"});
        owner.reportHealthy(1);
    }
    CHECK(isServing(owner.state));
    CHECK_EQUAL(1, owner.state.term.value());
}

TEST(promotion, anUnresponsiveConnectionIsReplacedBeforeThePrimaryIs)
{
    ownership_fixture owner;
    owner.startServing();
    bool connectionReplaced = false;
    for (int step = 0; step < 10; ++step) {
        owner.advanceWithReports(20ms, {"b", "c"});
        connectionReplaced = connectionReplaced || owner.state.databases.front().reconnectCount > 0;
    }
    CHECK(connectionReplaced);
    CHECK(isServing(owner.state));
}

TEST(promotion, aLateReportOfAnEarlierTermIsIgnored)
{
    ownership_fixture owner;
    owner.startServing();
    owner.report("b", 0, database_role::replica, entry(0, 9));
    CHECK_EQUAL(1, findDatabase(owner.state, database_name("b"))->report.term.value());
}

TEST(promotion, aReplacedPrimaryConfirmsOnlyAfterItTruncatedItsLog)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advanceWithReports(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    owner.reportFenced("b", entry(1, 1));
    owner.reportFenced("c", entry(1, 1));
    const std::string next = owner.state.primary.value();
    owner.report(next, 2, database_role::primary, entry(2, 2), false);
    owner.report("a", 2, database_role::replica, entry(1, 9), false);
    CHECK(!isServing(owner.state));
    owner.report("a", 2, database_role::replica, entry(2, 2));
    CHECK(isServing(owner.state));
}

TEST(promotion, aPlannedChangeGoesToTheNamedDatabase)
{
    ownership_fixture owner;
    owner.startServing();
    owner.handle(primary_change_requested{database_name("c")});
    owner.reportFenced("a", entry(1, 1));
    owner.reportFenced("b", entry(1, 1));
    owner.reportFenced("c", entry(1, 1));
    STRCMP_EQUAL("c", owner.state.primary.value().c_str());
}

TEST(promotion, aPlannedChangeWithoutATargetGoesToAnotherDatabase)
{
    ownership_fixture owner;
    owner.startServing();
    owner.handle(primary_change_requested{});
    owner.reportFenced("a", entry(1, 1));
    owner.reportFenced("b", entry(1, 1));
    owner.reportFenced("c", entry(1, 1));
    CHECK(owner.state.primary.value() != "a");
}

TEST(promotion, aForcedPromotionMustNameTheDatabasesItExcludes)
{
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    owner.reportFenced("a");
    owner.handle(promotion_forced{{database_name("b")}});
    CHECK(owner.state.phase == promotion_phase::fencing);
    owner.handle(promotion_forced{{database_name("b"), database_name("c")}});
    CHECK(owner.state.phase == promotion_phase::promoting);
    owner.report("a", 1, database_role::primary, entry(1, 1), false);
    CHECK(isServing(owner.state));
    // An excluded database confirms again once it follows.
    owner.report("b", 1, database_role::replica, entry(1, 1));
    CHECK(!findDatabase(owner.state, database_name("b"))->excludedFromQuorum);
    owner.report("a", 1, database_role::primary, entry(1, 2), false);
    CHECK(confirmedPosition(owner.state) == log_position(1));
}

TEST(promotion, aRoundAfterAForcedPromotionNeedsOnlyTheRemainingDatabases)
{
    constexpr std::uint64_t round = 7;
    const auto answered = [](database_role role, bool inSync) {
        database_report report;
        report.term = term_number(1);
        report.role = role;
        report.received = entry(1, 1);
        report.applied = report.received;
        report.inSync = inSync;
        report.round = round;
        return report;
    };
    ownership_fixture owner;
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    owner.reportFenced("a");
    owner.handle(promotion_forced{{database_name("b"), database_name("c")}});
    owner.report("a", 1, database_role::primary, entry(1, 1), false);
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.handle(database_reported{database_name("a"), answered(database_role::primary, false)});
    CHECK(isRoundConfirmed(owner.state, round));
    // Once an excluded database follows again, the round needs it too.
    owner.report("b", 1, database_role::replica, entry(1, 1));
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.handle(database_reported{database_name("b"), answered(database_role::replica, true)});
    CHECK(isRoundConfirmed(owner.state, round));
}

TEST(promotion, confirmedPositionDependsOnConfirmReplicas)
{
    for (const std::uint32_t needed : {0U, 1U, 2U}) {
        ownership_settings settings;
        settings.confirmReplicas = needed;
        ownership_fixture owner("one", settings);
        owner.startServing();
        CHECK(isServing(owner.state));
        CHECK_EQUAL(3 - needed, fenceQuorum(owner.state));
        owner.report("a", 1, database_role::primary, entry(1, 4), false);
        owner.report("b", 1, database_role::replica, entry(1, 3));
        owner.report("c", 1, database_role::replica, entry(1, 2));
        CHECK(confirmedPosition(owner.state) == log_position(4 - needed));
        // A replica in another term confirms nothing.
        owner.report("b", 2, database_role::replica, entry(2, 9));
        CHECK(confirmedPosition(owner.state) == log_position(0));
    }
}

TEST(promotion, aRoundNeedsMoreThanTheReplicaThatServed)
{
    ownership_fixture owner;
    owner.startServing();
    const std::uint64_t round = startRound(owner.state, owner.now, owner.actions);
    owner.report("b", 1, database_role::replica, entry(1, 1), true, round);
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.report("a", 1, database_role::primary, entry(1, 1), false, round);
    CHECK(isRoundConfirmed(owner.state, round));
}

TEST(promotion, anOwnerThatWasPausedKeepsItsPrimary)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advance(20ms);
    owner.now += 2s;
    owner.advance(50ms);
    CHECK(isServing(owner.state));
}

TEST(promotion, tooFewConfirmingReplicasAreReportedAsNoQuorum)
{
    ownership_fixture owner;
    owner.startServing();
    CHECK(availabilityProblem(owner.state, owner.now) == failure::none);
    owner.advanceWithReports(400ms, {"a"});
    CHECK(isServing(owner.state));
    CHECK(availabilityProblem(owner.state, owner.now) == failure::noQuorum);
}

TEST(promotion, aPrimaryThatAnswersStatementsIsResponsive)
{
    ownership_fixture owner;
    owner.startServing();
    for (int answer = 0; answer < 4; ++answer) {
        owner.advanceWithReports(200ms, {"b", "c"});
        owner.handle(database_answered{database_name("a")});
    }
    CHECK(isServing(owner.state));
    owner.advanceWithReports(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    CHECK(!isServing(owner.state));
}
