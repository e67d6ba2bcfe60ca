#include "serving_engine.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(group_engine)
{
    serving_engine bed;

    outcome outcomeOf(request_id id)
    {
        CHECK(bed.answerTo(id) != nullptr);
        return bed.answerTo(id)->result.kind;
    }

    failure failureOf(request_id id)
    {
        return bed.answerTo(id)->result.cause;
    }

    void confirmUpTo(std::uint64_t position)
    {
        bed.tick();
        bed.report("db0", database_role::primary, position);
        bed.report("db1", database_role::replica, position);
    }
};

TEST(group_engine, aWriteIsDoneOnceAReplicaHoldsIt)
{
    const request_id id = bed.request(statement_kind::write);
    bed.reply(id, outcome::done, 2);
    CHECK(bed.answerTo(id) == nullptr);
    bed.report("db2", database_role::replica, 2);
    CHECK(outcomeOf(id) == outcome::done);
    CHECK((bed.answerTo(id)->result.floor == log_entry{term_number(1), log_position(2)}));
}

TEST(group_engine, aReplicaOfAnotherTermConfirmsNothing)
{
    const request_id id = bed.request(statement_kind::write);
    bed.reply(id, outcome::done, 2);
    database_report old;
    old.term = term_number(0);
    old.role = database_role::replica;
    old.received = {term_number(0), log_position(2)};
    old.inSync = true;
    bed.handle(ownership_event(database_reported{database_name("db1"), old}));
    CHECK(bed.answerTo(id) == nullptr);
}

TEST(group_engine, anUnconfirmedWriteIsUnknownAtItsDeadline)
{
    const request_id id = bed.request(statement_kind::write);
    bed.reply(id, outcome::done, 2);
    bed.tick(std::chrono::seconds(2));
    CHECK(outcomeOf(id) == outcome::unknown);
}

TEST(group_engine, aWriteOnABrokenConnectionIsUnknownAndNotRunAgain)
{
    const request_id id = bed.request(statement_kind::write);
    const std::size_t sent = bed.sent.size();
    bed.handle(connection_closed{bed.sentFor(id)->connection});
    CHECK(outcomeOf(id) == outcome::unknown);
    CHECK_EQUAL(sent, bed.sent.size());
}

TEST(group_engine, aLateAnswerAfterItsConnectionClosedIsIgnored)
{
    const request_id id = bed.request(statement_kind::write);
    const connection_id connection = bed.sentFor(id)->connection;
    bed.handle(connection_closed{connection});
    statement_answered late;
    late.connection = connection;
    late.request = id;
    late.result.kind = outcome::done;
    bed.handle(late);
    CHECK_EQUAL(1U, bed.answers.size());
    CHECK(bed.engine.unconfirmed.empty());
}

TEST(group_engine, aReadOnABrokenConnectionRunsAgain)
{
    const request_id id = bed.request(statement_kind::read);
    const std::size_t sent = bed.sent.size();
    bed.handle(connection_closed{bed.sentFor(id)->connection});
    CHECK(bed.answerTo(id) == nullptr);
    CHECK_EQUAL(sent + 1, bed.sent.size());
}

TEST(group_engine, theEndOfATermMakesUnconfirmedWritesUnknown)
{
    const request_id id = bed.request(statement_kind::write);
    bed.reply(id, outcome::done, 2);
    // One broken connection is probed first; the second ends the term.
    bed.handle(ownership_event(database_unreachable{database_name("db0")}));
    bed.handle(ownership_event(database_unreachable{database_name("db0")}));
    CHECK(outcomeOf(id) == outcome::unknown);
    CHECK(failureOf(id) == failure::staleTerm);
}

TEST(group_engine, aRepeatedRequestIsDoneOnceTheFirstRunIsConfirmed)
{
    statement what;
    what.kind = statement_kind::write;
    what.key = request_key("booking-7");
    what.nonIdempotent = true;
    const request_id id = bed.request(what);
    bed.reply(id, outcome::notRun, 4, failure::duplicateKey);
    CHECK(bed.answerTo(id) == nullptr);
    confirmUpTo(4);
    CHECK(outcomeOf(id) == outcome::done);
    CHECK(failureOf(id) == failure::duplicateKey);
}

TEST(group_engine, aRepeatedRequestOfUnknownPlaceIsUnknown)
{
    statement what;
    what.kind = statement_kind::write;
    what.key = request_key("booking-7");
    const request_id id = bed.request(what);
    bed.reply(id, outcome::notRun, 0, failure::duplicateKey);
    CHECK(outcomeOf(id) == outcome::unknown);
}

TEST(group_engine, aLookupThatFindsNothingWaitsForARoundToo)
{
    statement what;
    what.kind = statement_kind::lookup;
    what.key = request_key("booking-7");
    const request_id id = bed.request(what);
    bed.reply(id, outcome::notRun, 1, failure::keyNotFound);
    CHECK(bed.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(failureOf(id) == failure::keyNotFound);
}

TEST(group_engine, theLatestReadWaitsForARoundThatBeganAfterIt)
{
    statement what;
    what.rule = read_rule::latest;
    const request_id id = bed.request(what);
    bed.reply(id, outcome::done, 1);
    CHECK(bed.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(id) == outcome::done);
}

TEST(group_engine, aReadOfAStatedAgeWaitsWhenNoReplicaHasConfirmedTheTermSince)
{
    // The primary still reports, but no replica answers: the owner may have been replaced.
    bed.tick(std::chrono::seconds(1));
    bed.tick(std::chrono::milliseconds(50));
    bed.report("db0", database_role::primary, 1);
    statement what;
    what.rule = read_rule::age;
    what.maxAge = std::chrono::milliseconds(500);
    const request_id id = bed.request(what);
    bed.reply(id, outcome::done, 1);
    CHECK(bed.answerTo(id) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(id) == outcome::done);
}

TEST(group_engine, anOlderTokenDoesNotLowerAKnownSessionsFloor)
{
    const request_id write = bed.request(statement_kind::write);
    bed.reply(write, outcome::done, 5);
    bed.report("db1", database_role::replica, 5);
    statement what;
    what.session = session_name("s");
    what.floor = log_entry{term_number(1), log_position(2)};
    const request_id read = bed.request(what);
    CHECK(bed.homes.at(bed.sentFor(read)->connection) == database_name("db1"));
}

TEST(group_engine, anAnswerCarriesTheFloorOfTheWholeSession)
{
    const request_id write = bed.request(statement_kind::write);
    bed.reply(write, outcome::done, 5);
    bed.report("db1", database_role::replica, 5);
    statement what;
    what.rule = read_rule::age;
    what.maxAge = std::chrono::hours(1);
    what.session = session_name("s");
    const request_id read = bed.request(what);
    bed.reply(read, outcome::done, 2);
    confirmUpTo(5);
    CHECK(bed.answerTo(read)->result.floor->position == log_position(5));
}

TEST(group_engine, aTokenOfAHigherTermIsRefused)
{
    statement what;
    what.floor = log_entry{term_number(2), log_position(1)};
    const request_id id = bed.request(what);
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
    CHECK(two.homes.at(two.sentFor(id)->connection) == database_name("db1"));
    two.reply(id, outcome::done, 3);
    CHECK(two.answerTo(id) == nullptr);
    two.report("db2", database_role::replica, 3);
    CHECK(two.answerTo(id) != nullptr);
}

TEST(group_engine, handingOverWaitsForWorkInFlightButNotForEver)
{
    const request_id id = bed.request(statement_kind::write);
    bed.handle(ownership_event(resignation_requested{}));
    CHECK(!bed.engine.ownership.resigning);
    CHECK(failureOf(bed.request(statement_kind::write)) == failure::notOwner);
    bed.reply(id, outcome::done, 2);
    bed.report("db1", database_role::replica, 2);
    bed.tick();
    CHECK(outcomeOf(id) == outcome::done);
    CHECK(bed.engine.ownership.resigning);

    serving_engine stubborn;
    stubborn.begin();
    stubborn.handle(ownership_event(resignation_requested{}));
    stubborn.tick(stubborn.engine.settings.drainTimeout);
    CHECK(stubborn.engine.ownership.resigning);
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

TEST(group_engine, anEmptyTransactionWaitsForItsRoundOnly)
{
    const transaction_id transaction = bed.begin(1);
    const request_id commit = bed.inTransaction(transaction, statement_kind::commit);
    bed.reply(commit, outcome::done, 0);
    CHECK(bed.answerTo(commit) == nullptr);
    confirmUpTo(1);
    CHECK(outcomeOf(commit) == outcome::done);
}
