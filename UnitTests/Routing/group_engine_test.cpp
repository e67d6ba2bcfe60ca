#include "serving_engine.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(group_engine)
{
    serving_engine harness;

    outcome outcomeOf(request_id id)
    {
        CHECK(harness.answerTo(id) != nullptr);
        return harness.answerTo(id)->result.kind;
    }

    failure failureOf(request_id id)
    {
        return harness.answerTo(id)->result.cause;
    }

    void confirmUpTo(std::uint64_t position)
    {
        harness.tick();
        harness.report("db0", database_role::primary, position);
        harness.report("db1", database_role::replica, position);
    }
};

TEST(group_engine, aWriteIsDoneOnceAReplicaHoldsIt)
{
    const request_id id = harness.request(statement_kind::write);
    harness.reply(id, outcome::done, 2);
    CHECK(harness.answerTo(id) == nullptr);
    harness.report("db2", database_role::replica, 2);
    CHECK(outcomeOf(id) == outcome::done);
    CHECK((harness.answerTo(id)->result.floor == log_entry{term_number(1), log_position(2)}));
}

TEST(group_engine, aReplicaOfAnotherTermConfirmsNothing)
{
    const request_id id = harness.request(statement_kind::write);
    harness.reply(id, outcome::done, 2);
    database_report old;
    old.term = term_number(0);
    old.role = database_role::replica;
    old.received = {term_number(0), log_position(2)};
    old.inSync = true;
    harness.handle(ownership_event(database_reported{database_name("db1"), old}));
    CHECK(harness.answerTo(id) == nullptr);
}

TEST(group_engine, anUnconfirmedWriteIsUnknownAtItsDeadline)
{
    const request_id id = harness.request(statement_kind::write);
    harness.reply(id, outcome::done, 2);
    harness.tick(std::chrono::seconds(2));
    CHECK(outcomeOf(id) == outcome::unknown);
}

TEST(group_engine, aWriteOnABrokenConnectionIsUnknownAndNotRunAgain)
{
    const request_id id = harness.request(statement_kind::write);
    const std::size_t sent = harness.sent.size();
    harness.handle(connection_closed{harness.sentFor(id)->connection});
    CHECK(outcomeOf(id) == outcome::unknown);
    CHECK_EQUAL(sent, harness.sent.size());
}

TEST(group_engine, aLateAnswerAfterItsConnectionClosedIsIgnored)
{
    const request_id id = harness.request(statement_kind::write);
    const connection_id connection = harness.sentFor(id)->connection;
    harness.handle(connection_closed{connection});
    statement_answered late;
    late.connection = connection;
    late.request = id;
    late.result.kind = outcome::done;
    harness.handle(late);
    CHECK_EQUAL(1U, harness.answers.size());
    CHECK(harness.engine.unconfirmed.empty());
}

TEST(group_engine, aReadOnABrokenConnectionRunsAgain)
{
    const request_id id = harness.request(statement_kind::read);
    const std::size_t sent = harness.sent.size();
    harness.handle(connection_closed{harness.sentFor(id)->connection});
    CHECK(harness.answerTo(id) == nullptr);
    CHECK_EQUAL(sent + 1, harness.sent.size());
}

TEST(group_engine, theEndOfATermMakesUnconfirmedWritesUnknown)
{
    const request_id id = harness.request(statement_kind::write);
    harness.reply(id, outcome::done, 2);
    // After one broken connection the primary is probed; the second ends the term.
    harness.handle(ownership_event(database_unreachable{database_name("db0")}));
    harness.handle(ownership_event(database_unreachable{database_name("db0")}));
    CHECK(outcomeOf(id) == outcome::unknown);
    CHECK(failureOf(id) == failure::staleTerm);
}

TEST(group_engine, aRepeatedRequestIsDoneOnceTheFirstRunIsConfirmed)
{
    statement what;
    what.kind = statement_kind::write;
    what.key = request_key("booking-7");
    what.nonIdempotent = true;
    const request_id id = harness.request(what);
    harness.reply(id, outcome::notRun, 4, failure::duplicateKey);
    CHECK(harness.answerTo(id) == nullptr);
    confirmUpTo(4);
    CHECK(outcomeOf(id) == outcome::done);
    CHECK(failureOf(id) == failure::duplicateKey);
}

TEST(group_engine, aRepeatedRequestWithoutALogPositionIsUnknown)
{
    statement what;
    what.kind = statement_kind::write;
    what.key = request_key("booking-7");
    const request_id id = harness.request(what);
    harness.reply(id, outcome::notRun, 0, failure::duplicateKey);
    CHECK(outcomeOf(id) == outcome::unknown);
}

TEST(group_engine, aLookupThatFindsNothingWaitsForARoundToo)
{
    statement what;
    what.kind = statement_kind::lookup;
    what.key = request_key("booking-7");
    const request_id id = harness.request(what);
    harness.reply(id, outcome::notRun, 1, failure::keyNotFound);
    CHECK(harness.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(failureOf(id) == failure::keyNotFound);
}

TEST(group_engine, theLatestReadWaitsForARoundThatBeganAfterIt)
{
    statement what;
    what.rule = read_rule::latest;
    const request_id id = harness.request(what);
    harness.reply(id, outcome::done, 1);
    CHECK(harness.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(id) == outcome::done);
}

TEST(group_engine, aReadOfAStatedAgeWaitsWhenNoReplicaHasConfirmedTheTermSince)
{
    // The primary still reports, but no replica answers: the owner may have been replaced.
    harness.tick(std::chrono::seconds(1));
    harness.tick(std::chrono::milliseconds(50));
    harness.report("db0", database_role::primary, 1);
    statement what;
    what.rule = read_rule::age;
    what.maxAge = std::chrono::milliseconds(500);
    const request_id id = harness.request(what);
    harness.reply(id, outcome::done, 1);
    CHECK(harness.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(id) == outcome::done);
}

TEST(group_engine, anOlderTokenDoesNotLowerAKnownSessionsFloor)
{
    const request_id write = harness.request(statement_kind::write);
    harness.reply(write, outcome::done, 5);
    harness.report("db1", database_role::replica, 5);
    statement what;
    what.session = session_name("s");
    what.floor = log_entry{term_number(1), log_position(2)};
    const request_id read = harness.request(what);
    CHECK(harness.connectionDatabases.at(harness.sentFor(read)->connection) == database_name("db1"));
}

TEST(group_engine, anAnswerCarriesTheFloorOfTheWholeSession)
{
    const request_id write = harness.request(statement_kind::write);
    harness.reply(write, outcome::done, 5);
    harness.report("db1", database_role::replica, 5);
    statement what;
    what.rule = read_rule::age;
    what.maxAge = std::chrono::hours(1);
    what.session = session_name("s");
    const request_id read = harness.request(what);
    harness.reply(read, outcome::done, 2);
    confirmUpTo(5);
    CHECK(harness.answerTo(read)->result.floor->position == log_position(5));
}

TEST(group_engine, aTokenOfAHigherTermIsRefused)
{
    statement what;
    what.floor = log_entry{term_number(2), log_position(1)};
    const request_id id = harness.request(what);
    CHECK(outcomeOf(id) == outcome::notRun);
    CHECK(failureOf(id) == failure::notOwner);
}

TEST(group_engine, aReplicaReadWaitsForTheSecondReplicaWhenThePolicyAsksForTwo)
{
    serving_engine two(2);
    two.report("db1", database_role::replica, 3);
    statement what;
    what.session = session_name("s");
    what.floor = log_entry{term_number(1), log_position(3)};
    const request_id id = two.request(what);
    CHECK(two.connectionDatabases.at(two.sentFor(id)->connection) == database_name("db1"));
    two.reply(id, outcome::done, 3);
    CHECK(two.answerTo(id) == nullptr);
    two.report("db2", database_role::replica, 3);
    CHECK(two.answerTo(id) != nullptr);
}

TEST(group_engine, handoverWaitsForWorkInFlightUntilTheDrainTimeout)
{
    const request_id id = harness.request(statement_kind::write);
    harness.handle(ownership_event(resignation_requested{}));
    CHECK(!harness.engine.ownership.resigning);
    CHECK(failureOf(harness.request(statement_kind::write)) == failure::notOwner);
    harness.reply(id, outcome::done, 2);
    harness.report("db1", database_role::replica, 2);
    harness.tick();
    CHECK(outcomeOf(id) == outcome::done);
    CHECK(harness.engine.ownership.resigning);

    serving_engine busy;
    busy.begin();
    busy.handle(ownership_event(resignation_requested{}));
    busy.tick(busy.engine.settings.drainTimeout);
    CHECK(busy.engine.ownership.resigning);
}

TEST(group_engine, withoutConfirmingReplicasThePrimarysReportIsEnough)
{
    serving_engine none(0);
    const request_id id = none.request(statement_kind::write);
    none.reply(id, outcome::done, 2);
    none.report("db0", database_role::primary, 2);
    CHECK(none.answerTo(id) != nullptr);
    CHECK(none.answerTo(id)->result.kind == outcome::done);
}

TEST(group_engine, twoConfirmingReplicasMustBothHoldAWrite)
{
    serving_engine two(2);
    const request_id id = two.request(statement_kind::write);
    two.reply(id, outcome::done, 2);
    two.report("db1", database_role::replica, 2);
    CHECK(two.answerTo(id) == nullptr);
    two.report("db2", database_role::replica, 2);
    CHECK(two.answerTo(id)->result.kind == outcome::done);
}

TEST(group_engine, aCommitWithoutChangesWaitsForItsRoundOnly)
{
    const transaction_id transaction = harness.begin(1);
    const request_id commit = harness.inTransaction(transaction, statement_kind::commit);
    harness.reply(commit, outcome::done, 0);
    CHECK(harness.answerTo(commit) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(commit) == outcome::done);
}
