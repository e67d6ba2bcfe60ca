#include "serving_engine.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(engine_transactions)
{
    serving_engine harness;

    bool isClosed(connection_id connection) const
    {
        return std::ranges::find(harness.closed, connection) != harness.closed.end();
    }

    const statement_result &resultOf(request_id id)
    {
        CHECK(harness.answerTo(id) != nullptr);
        return harness.answerTo(id)->result;
    }

    void confirmUpTo(std::uint64_t position)
    {
        harness.tick();
        harness.report("db0", database_role::primary, position);
        harness.report("db1", database_role::replica, position);
    }
};

TEST(engine_transactions, aRefusedCommitClosesItsConnection)
{
    const transaction_id transaction = harness.begin();
    const connection_id connection = harness.engine.transactions.at(transaction).connection;
    const request_id commit = harness.inTransaction(transaction, statement_kind::commit);
    harness.reply(commit, outcome::notRun, 3, failure::duplicateKey);
    CHECK(isClosed(connection));
    CHECK(harness.engine.transactions.empty());
    confirmUpTo(3);
    CHECK(resultOf(commit).kind == outcome::done);
}

TEST(engine_transactions, abandoningATransactionEndsItsRunningStatementAndConnection)
{
    const transaction_id transaction = harness.begin();
    const request_id write = harness.inTransaction(transaction, statement_kind::write);
    harness.handle(transaction_abandoned{transaction});
    CHECK(isClosed(harness.sentFor(write)->connection));
    CHECK(harness.engine.running.empty());
    CHECK(harness.engine.transactions.empty());
    CHECK(resultOf(write).kind == outcome::notRun);
    CHECK(resultOf(write).cause == failure::transactionLost);
    CHECK(isIdle(harness.engine));
}

TEST(engine_transactions, aCommitThatRunsWhenItsTransactionIsAbandonedIsUnknown)
{
    const transaction_id transaction = harness.begin();
    const request_id commit = harness.inTransaction(transaction, statement_kind::commit);
    harness.handle(transaction_abandoned{transaction});
    CHECK(resultOf(commit).kind == outcome::unknown);
}

TEST(engine_transactions, anAbandonedBeginIsRolledBack)
{
    const request_id id = harness.request(statement_kind::begin);
    harness.handle(request_abandoned{id});
    harness.reply(id, outcome::done, 1);
    CHECK(harness.engine.transactions.empty());
    CHECK(isClosed(harness.sentFor(id)->connection));
    CHECK(harness.answers.empty());
}

TEST(engine_transactions, onlyACommitIsUnknownWhenItsConnectionBreaks)
{
    transaction_id transaction = harness.begin();
    const request_id write = harness.inTransaction(transaction, statement_kind::write);
    harness.handle(connection_closed{harness.sentFor(write)->connection});
    CHECK(resultOf(write).kind == outcome::notRun);
    CHECK(resultOf(write).cause == failure::transactionLost);

    transaction = harness.begin();
    const request_id commit = harness.inTransaction(transaction, statement_kind::commit);
    harness.handle(connection_closed{harness.sentFor(commit)->connection});
    CHECK(resultOf(commit).kind == outcome::unknown);
}

TEST(engine_transactions, theEndOfATermEndsTransactions)
{
    const transaction_id transaction = harness.begin();
    // After one broken connection the primary is probed; the second ends the term.
    harness.handle(ownership_event(database_unreachable{database_name("db0")}));
    harness.handle(ownership_event(database_unreachable{database_name("db0")}));
    const request_id late = harness.inTransaction(transaction, statement_kind::write);
    CHECK(resultOf(late).cause == failure::transactionLost);
}

TEST(engine_transactions, anIdleTransactionIsRolledBack)
{
    const transaction_id transaction = harness.begin();
    harness.tick(harness.engine.settings.idleInTransactionTimeout);
    CHECK(harness.engine.transactions.empty());
    CHECK(resultOf(harness.inTransaction(transaction, statement_kind::read)).cause == failure::transactionLost);
}

TEST(engine_transactions, anotherSessionCannotUseATransaction)
{
    const transaction_id transaction = harness.begin();
    statement what;
    what.kind = statement_kind::write;
    what.session = session_name("someone else");
    what.transaction = transaction;
    CHECK(resultOf(harness.request(what)).cause == failure::transactionLost);
}

TEST(engine_transactions, aReadInATransactionWaitsForItsPositionAndItsTermToBeConfirmed)
{
    const transaction_id transaction = harness.begin(4);
    const request_id read = harness.inTransaction(transaction, statement_kind::read);
    harness.reply(read, outcome::done, 0);
    CHECK(harness.answerTo(read) == nullptr);
    confirmUpTo(3);
    CHECK(harness.answerTo(read) == nullptr);
    confirmUpTo(4);
    CHECK(resultOf(read).kind == outcome::done);
}

TEST(engine_transactions, aReadThatIsNotConfirmedInTimeEndsItsTransaction)
{
    const transaction_id transaction = harness.begin(4);
    const request_id read = harness.inTransaction(transaction, statement_kind::read);
    harness.reply(read, outcome::done, 0);
    harness.tick(std::chrono::seconds(2));
    CHECK(resultOf(read).cause == failure::transactionLost);
    CHECK(harness.engine.transactions.empty());
}

TEST(engine_transactions, transactionNumbersDoNotOverflowIntoTheTerm)
{
    const transaction_id first = harness.begin();
    harness.engine.nextTransaction = (1ULL << 24) + 5;
    harness.engine.transactions.clear();
    const transaction_id later = harness.begin();
    CHECK(first != later);
    CHECK_EQUAL(harness.engine.ownership.term.value(), later.value() >> 32);
}
