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
        deputy->handle(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
        deputy->advance(1300ms);
    }
    CHECK(first.state.role == ownership_role::owner); // The platform did not answer.
    CHECK(second.state.role == ownership_role::claiming);
    CHECK(first.state.ownRange.last < second.state.record.ranges[2].first);

    ownership_record winningRecord = nextRecord(ownership_fixture::recordOf({"one", "two", "three"}),
                                                first.state.term,
                                                {{instance_name("two"), "", {}, {}}, {instance_name("three"), "", {}, {}}});
    winningRecord.version = 2;
    second.handle(record_conflict{});
    second.handle(record_read{winningRecord});
    CHECK(second.state.role == ownership_role::deputy);
}

TEST(claim, aRecordWriteWithoutAnAnswerIsReadBack)
{
    ownership_fixture deputy("two");
    deputy.handle(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
    deputy.advance(600ms);
    CHECK(deputy.state.role == ownership_role::claiming);
    const ownership_record sent = deputy.actionsOf<write_record>().front().record;
    deputy.handle(record_request_failed{});
    deputy.advance(400ms);
    CHECK(deputy.state.role == ownership_role::owner);
    const term_number termWhileClaiming = deputy.state.term;
    CHECK(termWhileClaiming < sent.ranges.front().first);
    deputy.advance(400ms);
    ownership_record stored = sent;
    stored.version = 2;
    deputy.handle(record_read{stored});
    CHECK(!deputy.state.storedRecordOutdated);
    CHECK(deputy.state.term == termWhileClaiming);
}

TEST(claim, aWriteThatTakesEffectAfterItsSenderBecameDeputyAgainMakesItOwner)
{
    ownership_fixture deputy("two");
    deputy.handle(record_read{ownership_fixture::recordOf({"one", "two", "three"})});
    deputy.advance(600ms);
    ownership_record stored = deputy.actionsOf<write_record>().front().record;
    stored.version = 2;
    deputy.handle(heartbeat_received{instance_name("one"), term_number(1), 1, false});
    CHECK(deputy.state.role == ownership_role::deputy);
    deputy.handle(record_written{stored});
    CHECK(deputy.state.role == ownership_role::owner);
    CHECK(deputy.state.term == stored.ranges.front().first);
}

TEST(claim, aRenewedRangeSkipsTheReserveRangesOfTheDeputies)
{
    ownership_fixture owner;
    owner.startServing();
    ownership_record renewed = nextRecord(owner.state.record, owner.state.term, owner.ranking.ranking);
    renewed.version = 2;
    owner.handle(record_written{renewed});
    const term_range reserve = ownership_fixture::recordOf({"one", "two", "three"}).ranges[1];
    for (std::uint64_t round = 0; round < termsPerRange; ++round) {
        owner.handle(primary_change_requested{database_name("b")});
        CHECK(owner.state.term < reserve.first || reserve.last < owner.state.term);
        owner.reportFenced("a");
        owner.reportFenced("b");
        owner.reportFenced("c");
        const std::uint64_t term = owner.state.term.value();
        owner.report(owner.state.primary.value(), term, database_role::primary, ownership_fixture::entry(term, 1), false);
        owner.reportHealthy(1);
    }
}

TEST(claim, anExhaustedRangeIsReplacedByANewOneFromTheRecord)
{
    ownership_fixture owner;
    owner.startServing({"one"});
    for (std::uint64_t round = 0; round < termsPerRange; ++round) {
        owner.advance(owner.state.settings.primaryReportTimeout);
        owner.reportFenced("b");
        owner.reportFenced("c");
        owner.advance(owner.state.settings.promotionTimeout);
    }
    CHECK(owner.state.role == ownership_role::claiming);
    owner.handle(record_request_failed{});
    owner.handle(record_read{ownership_fixture::recordOf({"one"})});
    const ownership_record written = owner.actionsOf<write_record>().front().record;
    CHECK(written.ranges.front().first > owner.state.term);
    ownership_record stored = written;
    stored.version = 2;
    owner.handle(record_written{stored});
    CHECK(owner.state.role == ownership_role::owner);
    CHECK(owner.state.term == stored.ranges.front().first);
}

TEST(claim, aNewRangeIsRequestedBeforeTheOldOneIsExhausted)
{
    ownership_fixture owner;
    owner.startServing();
    owner.state.term = term_number(14);
    owner.advance(1005ms);
    CHECK(owner.state.recordRequestPending);
}

TEST(claim, aHeartbeatOfAReplacedOwnerDoesNotPreventATakeover)
{
    ownership_fixture deputy("two");
    ownership_record record = nextRecord(ownership_fixture::recordOf({"old", "two"}),
                                         term_number(0),
                                         {{instance_name("one"), "", {}, {}}, {instance_name("two"), "", {}, {}}});
    record.version = 2;
    deputy.handle(record_read{record});
    for (int heartbeat = 0; heartbeat < 7; ++heartbeat) {
        deputy.handle(heartbeat_received{instance_name("old"), term_number(1), 1, false});
        deputy.advance(100ms);
    }
    CHECK(deputy.state.role == ownership_role::claiming);
}

TEST(claim, aHeartbeatDuringAClaimEndsIt)
{
    ownership_fixture deputy("two");
    deputy.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.advance(600ms);
    deputy.handle(heartbeat_received{instance_name("one"), term_number(1), 1, false});
    deputy.advance(300ms);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, aDeputyThatWasPausedDoesNotTakeOver)
{
    ownership_fixture deputy("two");
    deputy.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.advance(100ms);
    deputy.now += 5s;
    deputy.advance(50ms);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, aPausedOwnerThatResumesIsRefusedAndFollowsTheNewOne)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advance(20ms);
    owner.now += 5s;
    owner.advance(5ms);
    CHECK(isServing(owner.state)); // It cannot know of the takeover yet.
    owner.report("b", 17, database_role::replica, ownership_fixture::entry(17, 2));
    CHECK(owner.state.role != ownership_role::owner);
    CHECK_EQUAL(1, owner.actionsOf<term_ended>().size());
    CHECK(owner.actionsOf<term_ended>().front().ownershipLost);
}

TEST(claim, aRecordedOwnerThatLostItsTermClaimsAgainWhenNoOtherHolderIsAlive)
{
    ownership_fixture owner;
    owner.startServing({"one", "two"});
    owner.handle(term_refused{term_number(17)});
    owner.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    owner.advance(owner.state.settings.ownerHeartbeatTimeout * 4);
    CHECK(owner.state.role == ownership_role::claiming || owner.state.role == ownership_role::owner);
}

TEST(claim, aResigningDeputyClaimsNothing)
{
    ownership_fixture deputy("two");
    deputy.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    deputy.handle(resignation_requested{});
    deputy.advance(3s);
    CHECK(deputy.state.role == ownership_role::deputy);
}

TEST(claim, theFirstCandidateClaimsWhenAllHoldersAreMissing)
{
    ownership_fixture other("nine");
    other.ranking.ranking = {{instance_name("nine"), "", {}, {}}};
    other.handle(other.ranking);
    other.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    CHECK(other.state.role == ownership_role::bystander);
    other.advance(1600ms);
    other.handle(record_read{ownership_fixture::recordOf({"one", "two"})});
    CHECK(other.state.role == ownership_role::claiming);
}

TEST(claim, anOwnerWithoutAQuorumOfDatabasesAsksADeputyToTakeOver)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advance(700ms);
    CHECK(owner.state.isolated);
    owner.advance(95ms);
    bool takeoverRequested = false;
    for (int tick = 0; tick < 21; ++tick) {
        owner.advance(5ms);
        for (const send_heartbeat &heartbeat : owner.actionsOf<send_heartbeat>()) {
            takeoverRequested = takeoverRequested || heartbeat.resigning;
        }
    }
    CHECK(takeoverRequested);
}

TEST(claim, repeatedHandoversBackOff)
{
    ownership_fixture owner;
    owner.startServing();
    owner.advance(700ms);
    owner.handle(heartbeat_received{instance_name("two"), term_number(17), 1, false});
    CHECK(owner.state.role != ownership_role::owner);
    CHECK_EQUAL(1, owner.state.handoverCount);
    ownership_record again = nextRecord(ownership_fixture::recordOf({"one", "two"}), term_number(40), {{instance_name("one"), "", {}, {}}});
    again.version = 3;
    owner.handle(record_read{again});
    owner.advance(owner.state.settings.isolationTimeout + owner.state.settings.primaryReportTimeout);
    CHECK(!owner.state.isolated);
}
