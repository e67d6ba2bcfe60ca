#include "serving_engine.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(engine_transactions)
{
    serving_engine bed;

    bool isClosed(connection_id connection) const
    {
        return std::ranges::find(bed.closed, connection) != bed.closed.end();
    }

    const statement_result &resultOf(request_id id)
    {
        CHECK(bed.answerTo(id) != nullptr);
        return bed.answerTo(id)->result;
    }

    void confirmUpTo(std::uint64_t position)
    {
        bed.tick();
        bed.report("db0", database_role::primary, position);
        bed.report("db1", database_role::replica, position);
    }
};

TEST(engine_transactions, aRefusedCommitDoesNotReturnItsConnection)
{
    const transaction_id transaction = bed.begin();
    const connection_id connection = bed.engine.transactions.at(transaction).connection;
    const request_id commit = bed.inTransaction(transaction, statement_kind::commit);
    bed.reply(commit, outcome::notRun, 3, failure::duplicateKey);
    CHECK(isClosed(connection));
    CHECK(bed.engine.transactions.empty());
    confirmUpTo(3);
    CHECK(resultOf(commit).kind == outcome::done);
}

TEST(engine_transactions, abandoningWhileAStatementRunsLeavesNothingBehind)
{
    const transaction_id transaction = bed.begin();
    const request_id write = bed.inTransaction(transaction, statement_kind::write);
    bed.handle(transaction_abandoned{transaction});
    CHECK(isClosed(bed.sentFor(write)->connection));
    CHECK(bed.engine.running.empty());
    CHECK(bed.engine.transactions.empty());
    CHECK(resultOf(write).kind == outcome::notRun);
    CHECK(resultOf(write).cause == failure::transactionLost);
    CHECK(isIdle(bed.engine));
}

TEST(engine_transactions, abandoningWhileItsCommitRunsIsUnknown)
{
    const transaction_id transaction = bed.begin();
    const request_id commit = bed.inTransaction(transaction, statement_kind::commit);
    bed.handle(transaction_abandoned{transaction});
    CHECK(resultOf(commit).kind == outcome::unknown);
}

TEST(engine_transactions, aBeginThatNobodyWaitsForIsRolledBack)
{
    const request_id id = bed.request(statement_kind::begin);
    bed.handle(request_abandoned{id});
    bed.reply(id, outcome::done, 1);
    CHECK(bed.engine.transactions.empty());
    CHECK(isClosed(bed.sentFor(id)->connection));
    CHECK(bed.answers.empty());
}

TEST(engine_transactions, onlyALostCommitIsUnknown)
{
    transaction_id transaction = bed.begin();
    const request_id write = bed.inTransaction(transaction, statement_kind::write);
    bed.handle(connection_closed{bed.sentFor(write)->connection});
    CHECK(resultOf(write).kind == outcome::notRun);
    CHECK(resultOf(write).cause == failure::transactionLost);

    transaction = bed.begin();
    const request_id commit = bed.inTransaction(transaction, statement_kind::commit);
    bed.handle(connection_closed{bed.sentFor(commit)->connection});
    CHECK(resultOf(commit).kind == outcome::unknown);
}

TEST(engine_transactions, theEndOfATermEndsTransactions)
{
    const transaction_id transaction = bed.begin();
    // One broken connection is probed first; the second ends the term.
    bed.handle(ownership_event(database_unreachable{database_name("db0")}));
    bed.handle(ownership_event(database_unreachable{database_name("db0")}));
    const request_id late = bed.inTransaction(transaction, statement_kind::write);
    CHECK(resultOf(late).cause == failure::transactionLost);
}

TEST(engine_transactions, anIdleTransactionIsRolledBack)
{
    const transaction_id transaction = bed.begin();
    bed.tick(bed.engine.settings.idleInTransactionTimeout);
    CHECK(bed.engine.transactions.empty());
    CHECK(resultOf(bed.inTransaction(transaction, statement_kind::read)).cause == failure::transactionLost);
}

TEST(engine_transactions, anotherSessionCannotJoin)
{
    const transaction_id transaction = bed.begin();
    statement what;
    what.kind = statement_kind::write;
    what.session = session_name("someone else");
    what.transaction = transaction;
    CHECK(resultOf(bed.request(what)).cause == failure::transactionLost);
}

TEST(engine_transactions, whatItReadsMustBeConfirmedAndItsTermCurrent)
{
    const transaction_id transaction = bed.begin(4);
    const request_id read = bed.inTransaction(transaction, statement_kind::read);
    bed.reply(read, outcome::done, 0);
    CHECK(bed.answerTo(read) == nullptr);
    confirmUpTo(3);
    CHECK(bed.answerTo(read) == nullptr);
    confirmUpTo(4);
    CHECK(resultOf(read).kind == outcome::done);
}

TEST(engine_transactions, aReadThatIsNotConfirmedInTimeEndsItsTransaction)
{
    const transaction_id transaction = bed.begin(4);
    const request_id read = bed.inTransaction(transaction, statement_kind::read);
    bed.reply(read, outcome::done, 0);
    bed.tick(std::chrono::seconds(2));
    CHECK(resultOf(read).cause == failure::transactionLost);
    CHECK(bed.engine.transactions.empty());
}

TEST(engine_transactions, numbersOfTwoTermsNeverMeet)
{
    const transaction_id first = bed.begin();
    bed.engine.nextTransaction = (1ULL << 24) + 5;
    bed.engine.transactions.clear();
    const transaction_id later = bed.begin();
    CHECK(first != later);
    CHECK_EQUAL(bed.engine.ownership.term.value(), later.value() >> 32);
}
