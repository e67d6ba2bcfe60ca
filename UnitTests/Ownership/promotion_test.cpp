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
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    owner.fenced("a");
    owner.pass(1s);
    CHECK(owner.state.phase == promotion_phase::fencing);
    CHECK(availabilityProblem(owner.state, owner.now) == failure::noQuorum);
}

TEST(promotion, theHighestTermAndPositionWins)
{
    ownership_fixture owner;
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    owner.state.term = term_number(9);
    owner.fenced("a", entry(1, 8));
    owner.fenced("b", entry(2, 3));
    owner.fenced("c", entry(2, 2));
    STRCMP_EQUAL("b", owner.state.primary.value().c_str());
}

TEST(promotion, theBarrierMustBeConfirmedBeforeServing)
{
    ownership_fixture owner;
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    for (const char *name : {"a", "b", "c"}) {
        owner.fenced(name, entry(0, 4));
    }
    owner.report("a", 1, database_role::primary, entry(1, 5), false);
    owner.report("b", 1, database_role::replica, entry(0, 4));
    CHECK(!isServing(owner.state));
    owner.report("b", 1, database_role::replica, entry(0, 6), false); // A tail that was not dropped.
    CHECK(!isServing(owner.state));
    owner.report("b", 1, database_role::replica, entry(1, 5));
    CHECK(isServing(owner.state));
}

TEST(promotion, aDatabaseThatWasUnreachableWhileConfirmingIsOrderedAgain)
{
    ownership_fixture owner;
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    owner.fenced("a");
    owner.fenced("b");
    owner.pass(25ms);
    owner.report(owner.state.primary.value(), 1, database_role::primary, entry(1, 1), false);
    owner.give(database_unreachable{database_name("c")});
    bool ordered = false;
    for (int tick = 0; tick < 40; ++tick) {
        owner.pass(5ms);
        for (const order_follow &order : owner.all<order_follow>()) {
            ordered = ordered || order.database.value() == "c";
        }
    }
    CHECK(ordered);
}

TEST(promotion, anUnansweredPromotionIsTriedInAHigherTermWithAnotherPrimary)
{
    ownership_fixture owner;
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    for (const char *name : {"a", "b", "c"}) {
        owner.fenced(name);
    }
    const database_name first = owner.state.primary;
    owner.passWith(owner.state.settings.promotionTimeout + 20ms, {"a", "b", "c"});
    CHECK_EQUAL(2, owner.state.term.value());
    owner.fenced("a", first.value() == "a" ? entry(1, 1) : log_entry{});
    owner.fenced("b");
    owner.fenced("c");
    CHECK(owner.state.primary != first);
}

TEST(promotion, oneBrokenConnectionCostsNoFailover)
{
    ownership_fixture owner;
    owner.serve();
    owner.give(database_unreachable{database_name("a")});
    CHECK(isServing(owner.state));
    CHECK_EQUAL(1, owner.all<order_report>().size());
    owner.pass(20ms);
    owner.healthy(1);
    owner.pass(100ms);
    CHECK(isServing(owner.state));
}

TEST(promotion, aSecondBrokenConnectionReplacesThePrimary)
{
    ownership_fixture owner;
    owner.serve();
    owner.give(database_unreachable{database_name("a")});
    owner.give(database_unreachable{database_name("a")});
    CHECK(owner.state.phase == promotion_phase::fencing);
    CHECK_EQUAL(2, owner.state.term.value());
}

TEST(promotion, aBrokenConnectionAndAReplicaThatLostItsPrimaryReplaceIt)
{
    ownership_fixture owner;
    owner.serve();
    owner.give(database_unreachable{database_name("a")});
    owner.report("b", 1, database_role::replica, entry(1, 1), false);
    owner.pass(5ms);
    CHECK(owner.state.phase == promotion_phase::fencing);
}

TEST(promotion, aPrimaryThatOnlyTheOwnerCannotReachIsReplacedByAnother)
{
    ownership_fixture owner;
    owner.serve();
    owner.passWith(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    CHECK_EQUAL(2, owner.state.term.value());
    owner.fenced("b", entry(1, 5));
    owner.fenced("c", entry(1, 6));
    STRCMP_EQUAL("c", owner.state.primary.value().c_str());
}

TEST(promotion, aPrimaryThatFellSilentIsAvoidedEvenWhenItAnswersTheFence)
{
    ownership_fixture owner;
    owner.serve();
    owner.passWith(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    owner.fenced("a", entry(1, 7));
    owner.fenced("b", entry(1, 6));
    owner.fenced("c", entry(1, 6));
    CHECK(owner.state.primary.value() != "a");
}

TEST(promotion, aSlowPrimaryIsKept)
{
    ownership_fixture owner;
    owner.serve();
    for (int answer = 0; answer < 5; ++answer) {
        owner.passWith(200ms, {"b", "c"});
        owner.healthy(1);
    }
    CHECK(isServing(owner.state));
    CHECK_EQUAL(1, owner.state.term.value());
}

TEST(promotion, aSilentConnectionIsReplacedBeforeThePrimaryIs)
{
    ownership_fixture owner;
    owner.serve();
    bool renewed = false;
    for (int step = 0; step < 10; ++step) {
        owner.passWith(20ms, {"b", "c"});
        renewed = renewed || owner.state.databases.front().reconnectCount > 0;
    }
    CHECK(renewed);
    CHECK(isServing(owner.state));
}

TEST(promotion, aLateReportOfAnEarlierTermIsIgnored)
{
    ownership_fixture owner;
    owner.serve();
    owner.report("b", 0, database_role::replica, entry(0, 9));
    CHECK_EQUAL(1, findDatabase(owner.state, database_name("b"))->report.term.value());
}

TEST(promotion, aReplacedPrimaryConfirmsOnlyOnceItHasDroppedItsTail)
{
    ownership_fixture owner;
    owner.serve();
    owner.passWith(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    owner.fenced("b", entry(1, 1));
    owner.fenced("c", entry(1, 1));
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
    owner.serve();
    owner.give(primary_change_requested{database_name("c")});
    owner.fenced("a", entry(1, 1));
    owner.fenced("b", entry(1, 1));
    owner.fenced("c", entry(1, 1));
    STRCMP_EQUAL("c", owner.state.primary.value().c_str());
}

TEST(promotion, aPlannedChangeWithoutATargetGoesToAnotherDatabase)
{
    ownership_fixture owner;
    owner.serve();
    owner.give(primary_change_requested{});
    owner.fenced("a", entry(1, 1));
    owner.fenced("b", entry(1, 1));
    owner.fenced("c", entry(1, 1));
    CHECK(owner.state.primary.value() != "a");
}

TEST(promotion, aForcedPromotionMustNameWhatItGivesUp)
{
    ownership_fixture owner;
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    owner.fenced("a");
    owner.give(promotion_forced{{database_name("b")}});
    CHECK(owner.state.phase == promotion_phase::fencing);
    owner.give(promotion_forced{{database_name("b"), database_name("c")}});
    CHECK(owner.state.phase == promotion_phase::promoting);
    owner.report("a", 1, database_role::primary, entry(1, 1), false);
    CHECK(isServing(owner.state));
    // A database that was given up confirms again once it follows.
    owner.report("b", 1, database_role::replica, entry(1, 1));
    CHECK(!findDatabase(owner.state, database_name("b"))->excludedFromQuorum);
    owner.report("a", 1, database_role::primary, entry(1, 2), false);
    CHECK(confirmedPosition(owner.state) == log_position(1));
}

TEST(promotion, aRoundAfterAForcedPromotionNeedsOnlyWhatIsLeft)
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
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    owner.fenced("a");
    owner.give(promotion_forced{{database_name("b"), database_name("c")}});
    owner.report("a", 1, database_role::primary, entry(1, 1), false);
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.give(database_reported{database_name("a"), answered(database_role::primary, false)});
    CHECK(isRoundConfirmed(owner.state, round));
    // Once a database that was given up follows again, the round needs it too.
    owner.report("b", 1, database_role::replica, entry(1, 1));
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.give(database_reported{database_name("b"), answered(database_role::replica, true)});
    CHECK(isRoundConfirmed(owner.state, round));
}

TEST(promotion, confirmationsNeeded)
{
    for (const std::uint32_t needed : {0U, 1U, 2U}) {
        ownership_settings settings;
        settings.confirmReplicas = needed;
        ownership_fixture owner("one", settings);
        owner.serve();
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
    owner.serve();
    const std::uint64_t round = startRound(owner.state, owner.now, owner.actions);
    owner.report("b", 1, database_role::replica, entry(1, 1), true, round);
    CHECK(!isRoundConfirmed(owner.state, round));
    owner.report("a", 1, database_role::primary, entry(1, 1), false, round);
    CHECK(isRoundConfirmed(owner.state, round));
}

TEST(promotion, anOwnerThatWasPausedDoesNotBlameItsPrimary)
{
    ownership_fixture owner;
    owner.serve();
    owner.pass(20ms);
    owner.now += 2s;
    owner.pass(50ms);
    CHECK(isServing(owner.state));
}

TEST(promotion, tooFewConfirmingReplicasShowAsAProblem)
{
    ownership_fixture owner;
    owner.serve();
    CHECK(availabilityProblem(owner.state, owner.now) == failure::none);
    owner.passWith(400ms, {"a"});
    CHECK(isServing(owner.state));
    CHECK(availabilityProblem(owner.state, owner.now) == failure::noQuorum);
}

TEST(promotion, aPrimaryThatAnswersStatementsIsNotSilent)
{
    ownership_fixture owner;
    owner.serve();
    for (int answer = 0; answer < 4; ++answer) {
        owner.passWith(200ms, {"b", "c"});
        owner.give(database_answered{database_name("a")});
    }
    CHECK(isServing(owner.state));
    owner.passWith(owner.state.settings.primaryReportTimeout + 20ms, {"b", "c"});
    CHECK(!isServing(owner.state));
}
