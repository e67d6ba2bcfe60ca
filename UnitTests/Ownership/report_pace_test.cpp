#include "mustardrouter/Ownership/group_ownership.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

const instance_name self("self");
const database_name primary("a");
const database_name replica("b");
const database_name otherReplica("c");

} // namespace

/// A served group of three databases, all of which answer each order at once.
TEST_GROUP(report_pace)
{
    ownership_settings settings;
    group_ownership state{group_name("g"), self, "", {primary, replica, otherReplica}, settings};
    time_point now{std::chrono::seconds(1)};
    std::map<database_name, std::uint64_t> asked;
    std::uint64_t renewed = 0;

    database_report reportOf(const database_name &name, std::uint64_t round)
    {
        database_report report;
        report.term = state.term;
        report.role = name == primary ? database_role::primary : database_role::replica;
        report.received = log_entry{state.term, log_position(1)};
        report.applied = report.received;
        report.inSync = name != primary;
        report.round = round;
        return report;
    }

    void answerAll(const ownership_actions &actions)
    {
        for (const ownership_action &action : actions) {
            renewed += std::holds_alternative<replace_control_connection>(action) ? 1U : 0U;
            const auto *order = std::get_if<order_report>(&action);
            if (order == nullptr) {
                continue;
            }
            ++asked[order->database];
            ownership_actions ignored;
            step(state, database_reported{order->database, reportOf(order->database, order->round)}, now, ignored);
        }
    }

    void serve()
    {
        ownership_record record = nextRecord({}, term_number(0), {{self, "", {}, {}}});
        record.version = 1;
        ownership_actions actions;
        step(state, record_read{record}, now, actions);
        state.primary = primary;
        state.barrier = log_entry{state.term, log_position(1)};
        state.phase = promotion_phase::serving;
        for (const database_name &name : {primary, replica, otherReplica}) {
            step(state, database_reported{name, reportOf(name, 0)}, now, actions);
        }
    }

    void passSeconds(int seconds)
    {
        constexpr duration tick = std::chrono::milliseconds(5);
        const time_point until = now + std::chrono::seconds(seconds);
        while (now < until) {
            now += tick;
            ownership_actions actions;
            step(state, clock_ticked{}, now, actions);
            answerAll(actions);
        }
    }
};

TEST(report_pace, replicasAreAskedOnceARoundAndThePrimaryMoreOften)
{
    serve();
    constexpr int seconds = 10;
    passSeconds(seconds);
    CHECK(isServing(state));
    const auto rounds = static_cast<std::uint64_t>(std::chrono::seconds(seconds) / settings.reportInterval);
    CHECK(asked[replica] <= rounds + 1);
    CHECK(asked[replica] + 1 >= rounds / 2);
    CHECK(asked[primary] > asked[replica]);
}

TEST(report_pace, aLinkThatAnswersEachRoundIsNotRenewed)
{
    serve();
    passSeconds(10);
    CHECK_EQUAL(0U, renewed);
}
