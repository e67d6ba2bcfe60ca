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

/// A served group of three databases that answer each order at once.
TEST_GROUP(report_interval)
{
    ownership_settings settings;
    group_ownership state{group_name("g"), self, "", {primary, replica, otherReplica}, settings};
    time_point now{std::chrono::seconds(1)};
    std::map<database_name, std::uint64_t> reportOrders;
    std::uint64_t replacedConnections = 0;

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

    void answerReportOrders(const ownership_actions &actions)
    {
        for (const ownership_action &action : actions) {
            replacedConnections += std::holds_alternative<replace_control_connection>(action) ? 1U : 0U;
            const auto *order = std::get_if<order_report>(&action);
            if (order == nullptr) {
                continue;
            }
            ++reportOrders[order->database];
            ownership_actions ignored;
            step(state, database_reported{order->database, reportOf(order->database, order->round)}, now, ignored);
        }
    }

    void startServing()
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

    void advanceSeconds(int seconds)
    {
        constexpr duration tick = std::chrono::milliseconds(5);
        const time_point until = now + std::chrono::seconds(seconds);
        while (now < until) {
            now += tick;
            ownership_actions actions;
            step(state, clock_ticked{}, now, actions);
            answerReportOrders(actions);
        }
    }
};

TEST(report_interval, replicasAreProbedOnceARoundAndThePrimaryMoreOften)
{
    startServing();
    constexpr int seconds = 10;
    advanceSeconds(seconds);
    CHECK(isServing(state));
    const auto rounds = static_cast<std::uint64_t>(std::chrono::seconds(seconds) / settings.reportInterval);
    CHECK(reportOrders[replica] <= rounds + 1);
    CHECK(reportOrders[replica] + 1 >= rounds / 2);
    CHECK(reportOrders[primary] > reportOrders[replica]);
}

TEST(report_interval, aConnectionThatAnswersEachRoundIsNotReplaced)
{
    startServing();
    advanceSeconds(10);
    CHECK_EQUAL(0U, replacedConnections);
}
