#include "mustardrouter/Soak/soak_history.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

/// A history with one session, and helpers for the events that clients and a database report.
struct small_history : soak_history {
    std::uint64_t session = addSession();
    std::uint64_t attempt = addAttempt();
    read_rule rule = read_rule::latest;
    bool inTransaction = false;
    bool routeMoves = false;
    /// Where statements run.
    group_name group{"g"};

    sent_statement make(const std::string &id, client_verb verb, const std::string &text) const
    {
        sent_statement sent;
        sent.clientStatement.id = id;
        sent.clientStatement.verb = verb;
        sent.clientStatement.text = text;
        sent.session = session;
        sent.attempt = attempt;
        sent.rule = rule;
        sent.maxAge = 1500ms;
        sent.group = group_name("g");
        sent.routeMoves = routeMoves;
        sent.inTransaction = inTransaction;
        return sent;
    }
    void send(const std::string &id, client_verb verb, const std::string &text, time_point at = start)
    {
        sent_statement sent = make(id, verb, text);
        sent.sentAt = at;
        sent.startedAt = at;
        onSent(sent);
    }
    std::string run(const std::string &id, const std::string &text, std::size_t applied = 0)
    {
        statement_run ran;
        ran.id = id;
        ran.text = text;
        ran.group = group;
        ran.database = database_name("d");
        ran.connection = 1;
        ran.applied = applied;
        ran.inTransaction = inTransaction;
        return onRun(ran);
    }
    void answer(const std::string &id, reply_code code, const std::string &signature = {}, time_point at = start)
    {
        database_reply reply;
        reply.code = code;
        reply.signature = signature;
        onAnswer(id, reply, at);
    }
    /// A write that is sent, run, committed and acknowledged.
    void write(const std::string &id, std::size_t index, time_point at)
    {
        send(id, client_verb::write, "WRITE x 1", at);
        const std::string signature = run(id, "WRITE x 1", index);
        onCommit(group, id, index);
        answer(id, reply_code::done, signature, at);
    }
    void expect(const char *prefix) const
    {
        CHECK_EQUAL(1U, violations().size());
        CHECK_TRUE_TEXT(violations().front().starts_with(prefix), violations().front().c_str());
    }
};

} // namespace

TEST_GROUP(soak_history){};

TEST(soak_history, itIsKnownWhetherAndWhenADatabaseHadAStatement)
{
    small_history history;
    history.send("s", client_verb::read, "READ x");
    CHECK_FALSE(history.wasReceived("s"));
    history.onReceived("s");
    CHECK_TRUE(history.wasReceived("s"));
    CHECK_FALSE(history.hasRun("s"));
    statement_run run;
    run.id = "s";
    run.text = "READ x";
    run.group = group_name("g");
    history.onRun(run, start + 1s);
    history.onRun(run, start + 2s);
    CHECK_TRUE(history.firstRunAt("s") == start + 1s);
}

TEST(soak_history, aValidHistoryHasNoViolations)
{
    small_history history;
    history.write("w1", 0, start);
    history.send("r1", client_verb::read, "READ x", start + 1s);
    history.answer("r1", reply_code::done, history.run("r1", "READ x", 1), start + 1s);
    CHECK_TRUE(history.violations().empty());
    CHECK_EQUAL(1U, history.commitCount());
}

TEST(soak_history, aLatestReadThatMissesAnAcknowledgedCommitIsStale)
{
    small_history history;
    history.write("w1", 0, start);
    history.send("r1", client_verb::read, "READ x", start + 1ms);
    history.answer("r1", reply_code::done, history.run("r1", "READ x", 0), start + 1s);
    history.expect("STALE");
}

TEST(soak_history, aReadByAgeMayMissCommitsYoungerThanItsMaximumAge)
{
    small_history history;
    history.rule = read_rule::age;
    history.write("w1", 0, start);
    history.send("r1", client_verb::read, "READ x", start + 1400ms);
    history.answer("r1", reply_code::done, history.run("r1", "READ x", 0), start + 2s);
    CHECK_TRUE(history.violations().empty());
    history.send("r2", client_verb::read, "READ x", start + 1600ms);
    history.answer("r2", reply_code::done, history.run("r2", "READ x", 0), start + 2s);
    history.expect("STALE");
}

TEST(soak_history, aSessionSeesItsOwnCommits)
{
    small_history history;
    history.rule = read_rule::session;
    history.write("w1", 0, start);
    history.send("r1", client_verb::read, "READ x", start + 1ms);
    history.answer("r1", reply_code::done, history.run("r1", "READ x", 0), start + 1s);
    history.expect("STALE");
}

TEST(soak_history, whereARouteMovesASessionSeesItsOwnCommitsInEachGroup)
{
    for (const std::size_t seen : {4, 5}) {
        small_history history;
        history.rule = read_rule::session;
        history.routeMoves = true;
        history.write("w1", 4, start);
        history.group = group_name("h");
        history.send("r1", client_verb::read, "READ x", start + 1ms);
        history.answer("r1", reply_code::done, history.run("r1", "READ x", 0), start + 2ms);
        history.write("w2", 0, start + 3ms);
        CHECK_TRUE(history.violations().empty());
        history.group = group_name("g");
        history.send("r2", client_verb::read, "READ x", start + 4ms);
        history.answer("r2", reply_code::done, history.run("r2", "READ x", seen), start + 5ms);
        CHECK_EQUAL(seen < 5, !history.violations().empty());
    }
}

TEST(soak_history, commitsDroppedByAPromotionAreNotRequiredButLaterOnesAre)
{
    small_history history;
    history.write("w1", 0, start);
    history.onPromoted(group_name("g"), {0, {"w1"}, {}}, 0);
    history.send("r1", client_verb::read, "READ x", start + 1s);
    history.answer("r1", reply_code::done, history.run("r1", "READ x", 0), start + 1s);
    CHECK_TRUE(history.violations().empty());
    history.write("w2", 0, start + 2s);
    history.send("r2", client_verb::read, "READ x", start + 3s);
    statement_run old;
    old.id = "r2";
    old.text = "READ x";
    old.group = group_name("g");
    old.applied = 1;
    old.lastCommit = "w1";
    history.answer("r2", reply_code::done, history.onRun(old), start + 3s);
    history.expect("STALE");
}

TEST(soak_history, anAcknowledgedCommitThatIsDroppedIsLostWithSynchronousReplicas)
{
    small_history history;
    history.write("w1", 0, start);
    history.onPromoted(group_name("g"), {0, {"w1"}, {}}, 1);
    history.expect("LOST");
}

TEST(soak_history, aCommitThatIsAppendedAgainIsReportedAsTwice)
{
    small_history history;
    history.write("w1", 0, start);
    history.onCommit(group_name("g"), "w1", 1);
    history.expect("TWICE");
}

TEST(soak_history, aCommitDespiteAnAnswerThatGuaranteesNoEffectIsReportedAsRefused)
{
    small_history before;
    before.send("w1", client_verb::write, "WRITE x 1");
    before.run("w1", "WRITE x 1");
    before.onCommit(group_name("g"), "w1", 0);
    before.answer("w1", reply_code::busy);
    before.expect("REFUSED");
    small_history after;
    after.send("w1", client_verb::write, "WRITE x 1");
    after.answer("w1", reply_code::aborted);
    after.onCommit(group_name("g"), "w1", 0);
    after.expect("REFUSED");
}

TEST(soak_history, aStatementNotSentOrWithAnotherTextIsReportedAsUnasked)
{
    small_history nobody;
    nobody.run("r1", "READ x");
    nobody.expect("UNASKED");
    small_history changed;
    changed.send("r1", client_verb::read, "READ x");
    changed.run("r1", "READ y");
    changed.expect("UNASKED");
    small_history keeps;
    keeps.send("r1", client_verb::read, "READ x");
    keeps.onCommit(group_name("g"), "r1", 0);
    keeps.expect("UNASKED");
}

TEST(soak_history, anAnswerOfAnotherStatementIsReportedAsMixed)
{
    small_history history;
    history.send("r1", client_verb::read, "READ x");
    history.send("r2", client_verb::read, "READ y");
    const std::string signature = history.run("r1", "READ x");
    history.run("r2", "READ y");
    history.answer("r2", reply_code::done, signature);
    history.expect("MIXED");
}

TEST(soak_history, aStatementOutsideItsTransactionOrConnectionIsReportedAsPinned)
{
    small_history outside;
    outside.inTransaction = true;
    outside.send("r1", client_verb::read, "READ x");
    outside.inTransaction = false;
    outside.run("r1", "READ x");
    outside.expect("PINNED");
    small_history values;
    values.onValueSet(values.session, "zone", "here");
    values.send("r1", client_verb::read, "READ x");
    values.run("r1", "READ x");
    values.expect("PINNED");
    small_history moved;
    moved.inTransaction = true;
    moved.send("r1", client_verb::read, "READ x");
    moved.run("r1", "READ x");
    moved.send("r2", client_verb::read, "READ x");
    statement_run elsewhere;
    elsewhere.id = "r2";
    elsewhere.text = "READ x";
    elsewhere.group = group_name("g");
    elsewhere.database = database_name("d");
    elsewhere.connection = 2;
    elsewhere.inTransaction = true;
    moved.onRun(elsewhere);
    moved.expect("PINNED");
}

TEST(soak_history, aStatementInAnotherGroupIsReportedAsRoute)
{
    small_history history;
    history.send("r1", client_verb::read, "READ x");
    statement_run other;
    other.id = "r1";
    other.text = "READ x";
    other.group = group_name("h");
    history.onRun(other);
    history.expect("ROUTE");
}

TEST(soak_history, aFenceIsUsedByOneOrder)
{
    small_history history;
    history.onOrder("g", 5, "instance-1", "a");
    history.onOrder("g", 6, "instance-1", "b");
    CHECK_TRUE(history.violations().empty());
    history.onOrder("g", 6, "instance-2", "b");
    history.expect("ONE");
}

TEST(soak_history, aStatementThatRunsAfterItsClientGaveItUpMustHaveTheValuesOfItsTime)
{
    for (const bool late : {false, true}) {
        small_history history;
        history.onValueSet(history.session, "a", "1");
        history.send("q1", client_verb::read, "READ 1");
        history.onGivenUp("q1");
        history.onValueSet(history.session, "a", "2");
        statement_run ran;
        ran.id = "q1";
        ran.text = "READ 1";
        ran.group = group_name("g");
        ran.database = database_name("d");
        ran.values = {{"a", late ? "1" : ""}};
        history.onRun(ran);
        CHECK_EQUAL(late ? 0 : 1, history.violations().size());
    }
}
