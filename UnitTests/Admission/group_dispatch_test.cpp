#include "mustardrouter/Routing/group_engine.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

const database_name primaryName("a");
const database_name firstReplica("b");
const database_name secondReplica("c");

/// An engine that serves its group with a primary and two replicas. The tests give their answers and reports.
struct serving_engine {
    explicit serving_engine(pool_limits limits)
        : engine(makeEngine(limits))
    {
        group_ownership &ownership = engine.ownership;
        ownership.role = ownership_role::owner;
        ownership.phase = promotion_phase::serving;
        ownership.term = term_number(1);
        ownership.ownRange = {instance_name("self"), "", term_number(1), term_number(16)};
        ownership.record.ranges = {ownership.ownRange};
        ownership.primary = primaryName;
        ownership.barrier = {term_number(1), log_position(1)};
        for (const database_name &name : {primaryName, firstReplica, secondReplica}) {
            report(name, 1, false);
        }
    }

    static group_engine makeEngine(pool_limits limits)
    {
        group_ownership ownership(
            group_name("g"), instance_name("self"), "", {primaryName, firstReplica, secondReplica}, ownership_settings{});
        return group_engine(
            std::move(ownership), {{primaryName, limits}, {firstReplica, limits}, {secondReplica, limits}}, engine_settings{});
    }

    void run(const engine_event &event)
    {
        engine_actions decided;
        step(engine, event, now, decided);
        for (engine_action &action : decided) {
            if (const auto *opened = std::get_if<open_connection>(&action)) {
                connectionDatabases[opened->connection] = opened->database;
                opens.push_back(opened->connection);
            }
            actions.push_back(std::move(action));
        }
        const std::vector<connection_id> opened = std::move(opens);
        opens.clear();
        for (const connection_id connection : opened) {
            run(connection_opened{connection, true, term_number(1)});
        }
    }

    void report(const database_name &name, std::uint64_t position, bool leaving)
    {
        database_report made;
        made.term = term_number(1);
        made.role = name == primaryName ? database_role::primary : database_role::replica;
        made.received = {term_number(1), log_position(position)};
        made.applied = made.received;
        made.inSync = true;
        made.leaving = leaving;
        run(ownership_event(database_reported{name, made}));
    }

    void send(std::uint64_t id, statement_kind kind, duration timeout)
    {
        statement what;
        what.kind = kind;
        what.floor = log_entry{term_number(1), log_position(1)};
        what.deadline = now + timeout;
        run(request_arrived{request_id(id), what});
    }

    void tick(duration step)
    {
        now += step;
        run(ownership_event(clock_ticked{}));
    }

    template<typename Action>
    std::vector<Action> taken() const
    {
        std::vector<Action> found;
        for (const engine_action &action : actions) {
            if (const auto *item = std::get_if<Action>(&action)) {
                found.push_back(*item);
            }
        }
        return found;
    }

    std::set<database_name> used() const
    {
        std::set<database_name> names;
        for (const run_statement &started : taken<run_statement>()) {
            names.insert(connectionDatabases.at(started.connection));
        }
        return names;
    }

    void answerLast()
    {
        const run_statement last = taken<run_statement>().back();
        statement_result result;
        result.kind = outcome::done;
        run(statement_answered{last.connection, last.request, result, {}, {}});
    }

    group_engine engine;
    time_point now{1s};
    std::vector<engine_action> actions;
    std::vector<connection_id> opens;
    std::map<connection_id, database_name> connectionDatabases;
};

} // namespace

TEST_GROUP(group_dispatch){};

TEST(group_dispatch, readsSpreadOverReplicasAndLeaveThePrimaryAlone)
{
    serving_engine group({2, 4});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        group.send(id, statement_kind::read, 1s);
    }
    LONGS_EQUAL(4, group.taken<run_statement>().size());
    CHECK(group.used() == std::set<database_name>({firstReplica, secondReplica}));
    group.send(5, statement_kind::read, 1s);
    LONGS_EQUAL(4, group.taken<run_statement>().size());
}

TEST(group_dispatch, aLeavingReplicaGetsNoStatementAndNoConnection)
{
    serving_engine group({2, 4});
    group.report(firstReplica, 1, true);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        group.send(id, statement_kind::read, 1s);
        group.tick(2ms);
    }
    CHECK(group.used() == std::set<database_name>({secondReplica}));
    for (const open_connection &opened : group.taken<open_connection>()) {
        CHECK(opened.database != firstReplica);
    }
}

TEST(group_dispatch, aLeavingPrimaryFinishesItsWorkAndIsReplaced)
{
    serving_engine group({2, 4});
    group.send(1, statement_kind::write, 3s);
    LONGS_EQUAL(1, group.taken<run_statement>().size());
    group.report(primaryName, 1, true);
    group.send(2, statement_kind::write, 3s);
    group.tick(2ms);
    // The write in flight keeps running and no new one starts.
    LONGS_EQUAL(1, group.taken<run_statement>().size());
    CHECK(isServing(group.engine.ownership));
    group.answerLast();
    group.tick(2ms);
    CHECK(!isServing(group.engine.ownership));
    LONGS_EQUAL(2, group.engine.ownership.term.value());
    CHECK(group.engine.ownership.preferredPrimary != primaryName);
    // The queued write is neither answered nor dropped.
    LONGS_EQUAL(1, group.taken<answer_request>().size());
    LONGS_EQUAL(1, waitingCount(group.engine.queue));
}

TEST(group_dispatch, aLeavingPrimaryWithStuckWorkIsReplacedWithinTwoSeconds)
{
    serving_engine group({2, 4});
    group.send(1, statement_kind::write, 10s);
    group.report(primaryName, 1, true);
    for (int step = 0; step < 200 && isServing(group.engine.ownership); ++step) {
        group.tick(10ms);
        group.report(primaryName, 1, true);
    }
    CHECK(!isServing(group.engine.ownership));
}

TEST(group_dispatch, anExpiredStatementKeepsItsConnection)
{
    serving_engine group({1, 2});
    group.send(1, statement_kind::write, 100ms);
    group.tick(150ms);
    LONGS_EQUAL(1, group.taken<answer_request>().size());
    CHECK(group.taken<answer_request>()[0].result.kind == outcome::unknown);
    LONGS_EQUAL(0, group.taken<close_connection>().size());
    // The slot stays in use until the database answers.
    group.send(2, statement_kind::write, 1s);
    LONGS_EQUAL(1, group.taken<run_statement>().size());
    group.answerLast();
    LONGS_EQUAL(2, group.taken<run_statement>().size());
    LONGS_EQUAL(1, group.taken<answer_request>().size());
}

TEST(group_dispatch, aReadOnAnUnresponsiveConnectionRunsElsewhereAndAWriteIsUnknown)
{
    serving_engine group({1, 2});
    group.send(1, statement_kind::read, 10s);
    group.send(2, statement_kind::write, 10s);
    LONGS_EQUAL(2, group.taken<run_statement>().size());
    const connection_id unresponsive = group.taken<run_statement>()[0].connection;
    for (int step = 0; step < 120; ++step) {
        group.tick(10ms);
        for (const database_name &name : {primaryName, firstReplica, secondReplica}) {
            group.report(name, 1, false);
        }
    }
    const auto answers = group.taken<answer_request>();
    LONGS_EQUAL(1, answers.size());
    LONGS_EQUAL(2, answers[0].request.value());
    CHECK(answers[0].result.kind == outcome::unknown);
    const auto started = group.taken<run_statement>();
    LONGS_EQUAL(3, started.size());
    LONGS_EQUAL(1, started[2].request.value());
    CHECK(started[2].connection != unresponsive);
    LONGS_EQUAL(2, group.taken<close_connection>().size());
}

TEST(group_dispatch, aRequestThatWouldWaitTooLongIsRefusedAtOnceWithARetryAfter)
{
    serving_engine group({1, 1});
    group.engine.pools.at(primaryName).serviceMicros = 10000;
    std::uint64_t id = 1;
    while (id < 1000 && group.taken<answer_request>().empty()) {
        group.send(id++, statement_kind::write, 200ms);
    }
    const auto answers = group.taken<answer_request>();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].result.kind == outcome::notRun);
    CHECK(answers[0].result.cause == failure::overloaded);
    CHECK(answers[0].result.retryAfter > 0ms);
    // 20 statements of 10 ms fit into 200 ms.
    CHECK(waitingCount(group.engine.queue) < 20);
}
