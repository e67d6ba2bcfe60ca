#include "UnitTests/Ownership/ownership_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(claim){};

TEST(claim, twoClaimantsAtOnceOneBecomesOwner)
{
    ownership_fixture first("two");
    ownership_fixture second("three");
    for (ownership_fixture *deputy : {&first, &second}) {
        deputy->give(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
        deputy->pass(1300ms);
    }
    CHECK(first.state.role == ownership_role::owner); // No answer of the platform came.
    CHECK(second.state.role == ownership_role::claiming);
    CHECK(first.state.ownRange.last < second.state.record.ranges[2].first);

    ownership_record won = nextRecord(ownership_fixture::recordOf({"one", "two", "three"}),
                                      first.state.term,
                                      {{instance_name("two"), "", {}, {}}, {instance_name("three"), "", {}, {}}});
    won.version = 2;
    second.give(record_conflict{});
    second.give(record_read{won});
    CHECK(second.state.role == ownership_role::deputy);
}

TEST(claim, lostAnswerOfAnUpdateIsReadBack)
{
    ownership_fixture deputy("two");
    deputy.give(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
    deputy.pass(600ms);
    CHECK(deputy.state.role == ownership_role::claiming);
    const ownership_record sent = deputy.all<write_record>().front().record;
    deputy.give(record_request_failed{});
    deputy.pass(400ms);
    CHECK(deputy.state.role == ownership_role::owner);
    const term_number working = deputy.state.term;
    CHECK(working < sent.ranges.front().first);
    deputy.pass(400ms);
    ownership_record stored = sent;
    stored.version = 2;
    deputy.give(record_read{stored});
    CHECK(!deputy.state.storedRecordOutdated);
    CHECK(deputy.state.term == working);
}

TEST(claim, anUpdateThatTookEffectAfterItsSenderSteppedBackStillMakesItOwner)
{
    ownership_fixture deputy("two");
    deputy.give(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
    deputy.pass(600ms);
    ownership_record stored = deputy.all<write_record>().front().record;
    stored.version = 2;
    deputy.give(heartbeat_received{instance_name("one"), term_number(1), 1, false});
    CHECK(deputy.state.role == ownership_role::deputy);
    deputy.give(record_written{stored});
    CHECK(deputy.state.role == ownership_role::owner);
    CHECK(deputy.state.term == stored.ranges.front().first);
}

TEST(claim, aRenewedRangeDoesNotRunIntoTheDeputiesOldTerms)
{
    ownership_fixture owner;
    owner.serve();
    ownership_record renewed = nextRecord(owner.state.record, owner.state.term, owner.ranking.ranking);
    renewed.version = 2;
    owner.give(record_written{renewed});
    const term_range reserve = ownership_fixture::recordOf({"one", "two", "three"}).ranges[1];
    for (std::uint64_t round = 0; round < termsPerRange; ++round) {
        owner.give(primary_change_requested{database_name("b")});
        CHECK(owner.state.term < reserve.first || reserve.last < owner.state.term);
        owner.fenced("a");
        owner.fenced("b");
        owner.fenced("c");
        const std::uint64_t term = owner.state.term.value();
        owner.report(owner.state.primary.value(), term, database_role::primary, ownership_fixture::entry(term, 1), false);
        owner.healthy(1);
    }
}

TEST(claim, anExhaustedRangeIsReplacedByTheRecordsNext)
{
    ownership_fixture owner;
    owner.serve({"one"});
    for (std::uint64_t round = 0; round < termsPerRange; ++round) {
        owner.pass(owner.state.settings.primaryReportTimeout);
        owner.fenced("b");
        owner.fenced("c");
        owner.pass(owner.state.settings.promotionTimeout);
    }
    CHECK(owner.state.role == ownership_role::claiming);
    owner.give(record_request_failed{});
    owner.give(record_read{ownership_fixture::recordOf({"one"})});
    const ownership_record asked = owner.all<write_record>().front().record;
    CHECK(asked.ranges.front().first > owner.state.term);
    ownership_record stored = asked;
    stored.version = 2;
    owner.give(record_written{stored});
    CHECK(owner.state.role == ownership_role::owner);
    CHECK(owner.state.term == stored.ranges.front().first);
}

TEST(claim, aNewRangeIsAskedForBeforeTheOldOneEnds)
{
    ownership_fixture owner;
    owner.serve();
    owner.state.term = term_number(14);
    owner.pass(1005ms);
    CHECK(owner.state.recordRequestPending);
}

TEST(claim, aHeartbeatOfAReplacedOwnerDoesNotKeepADeputyQuiet)
{
    ownership_fixture deputy("two");
    ownership_record record = nextRecord(ownership_fixture::recordOf({"old", "two"}),
                                         term_number(0),
                                         {{instance_name("one"), "", {}, {}}, {instance_name("two"), "", {}, {}}});
    record.version = 2;
    deputy.give(record_read{record});
    for (int beat = 0; beat < 7; ++beat) {
        deputy.give(heartbeat_received{instance_name("old"), term_number(1), 1, false});
        deputy.pass(100ms);
    }
    CHECK(deputy.state.role == ownership_role::claiming);
}

TEST(claim, aHeartbeatDuringAClaimEndsIt)
{
    ownership_fixture deputy("two");
    deputy.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.pass(600ms);
    deputy.give(heartbeat_received{instance_name("one"), term_number(1), 1, false});
    deputy.pass(300ms);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, aPausedDeputyDoesNotBlameItsOwner)
{
    ownership_fixture deputy("two");
    deputy.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.pass(100ms);
    deputy.now += 5s;
    deputy.pass(50ms);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, aPausedOwnerThatResumesIsRefusedAndFollowsTheNewOne)
{
    ownership_fixture owner;
    owner.serve();
    owner.pass(20ms);
    owner.now += 5s;
    owner.pass(5ms);
    CHECK(isServing(owner.state)); // It cannot know yet.
    owner.report("b", 17, database_role::replica, ownership_fixture::entry(17, 2));
    CHECK(owner.state.role != ownership_role::owner);
    CHECK_EQUAL(1, owner.all<term_ended>().size());
    CHECK(owner.all<term_ended>().front().ownershipLost);
}

TEST(claim, aRecordedOwnerThatLostItsTermClaimsAgainWhenNobodyElseLives)
{
    ownership_fixture owner;
    owner.serve({"one", "two"});
    owner.give(term_refused{term_number(17)});
    owner.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    owner.pass(owner.state.settings.ownerHeartbeatTimeout * 4);
    CHECK(owner.state.role == ownership_role::claiming || owner.state.role == ownership_role::owner);
}

TEST(claim, aDeputyThatIsLeavingClaimsNothing)
{
    ownership_fixture deputy("two");
    deputy.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.give(resignation_requested{});
    deputy.pass(3s);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, allHoldersGoneTheFirstCandidateClaims)
{
    ownership_fixture other("nine");
    other.ranking.ranking = {{instance_name("nine"), "", {}, {}}};
    other.give(other.ranking);
    other.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    CHECK(other.state.role == ownership_role::bystander);
    other.pass(1600ms);
    other.give(record_read{ownership_fixture::recordOf({"one", "two"})});
    CHECK(other.state.role == ownership_role::claiming);
}

TEST(claim, anOwnerCutOffFromTheDatabasesAsksADeputyToTry)
{
    ownership_fixture owner;
    owner.serve();
    owner.pass(700ms);
    CHECK(owner.state.isolated);
    owner.pass(95ms);
    bool asked = false;
    for (int tick = 0; tick < 21; ++tick) {
        owner.pass(5ms);
        for (const send_heartbeat &beat : owner.all<send_heartbeat>()) {
            asked = asked || beat.resigning;
        }
    }
    CHECK(asked);
}

TEST(claim, repeatedHandOversSlowDown)
{
    ownership_fixture owner;
    owner.serve();
    owner.pass(700ms);
    owner.give(heartbeat_received{instance_name("two"), term_number(17), 1, false});
    CHECK(owner.state.role != ownership_role::owner);
    CHECK_EQUAL(1, owner.state.handoverCount);
    ownership_record again = nextRecord(ownership_fixture::recordOf({"one", "two"}), term_number(40), {{instance_name("one"), "", {}, {}}});
    again.version = 3;
    owner.give(record_read{again});
    owner.pass(owner.state.settings.isolationPatience + owner.state.settings.primaryReportTimeout);
    CHECK(!owner.state.isolated);
}
