#include "mustardrouter/Proxy/overload_admission.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// A class of statements: its rate over the whole group, its execution time and its priority.
struct statement_class {
    double perSecond;
    duration work;
    std::uint32_t priority;
};

/// Urgent statements, session reads and long reads, while both replicas of a group lag; together 1.7 times the capacity
/// of a primary with 6 slots.
constexpr std::array<statement_class, 3> statementClasses{{{48, 11ms, 1}, {220, 33ms, 2}, {48, 55ms, 2}}};
constexpr std::size_t slots = 6;
constexpr std::size_t queueLength = 48;
constexpr int instances = 20;

struct load_result {
    std::array<int, 3> offered{};
    std::array<int, 3> served{};
    int refusedByDatabase = 0;
};

/// Simulates 30 s of the load on one primary, with or without admission control at each instance; a refused statement is
/// not retried.
load_result simulateLoad(bool withAdmission)
{
    std::mt19937_64 random(3);
    std::array<database_state, instances> states{};
    load_result result;
    std::vector<time_point> slotFreeAt(slots, time_point{});
    const time_point start(100s);
    std::deque<time_point> queuedStarts;
    for (time_point now = start; now < start + 30s; now += 1ms) {
        for (std::size_t kind = 0; kind < statementClasses.size(); ++kind) {
            if (std::uniform_real_distribution<double>(0, 1)(random) >= statementClasses[kind].perSecond / 1000) {
                continue;
            }
            ++result.offered[kind];
            database_state &state = states[random() % instances];
            const admission_request request{
                statementClasses[kind].priority, static_cast<double>(statementClasses[kind].work.count()), 33'000, 0};
            if (withAdmission && std::uniform_real_distribution<double>(0, 1)(random) >= admissionProbability(state, request, now)) {
                continue;
            }
            while (!queuedStarts.empty() && queuedStarts.front() <= now) {
                queuedStarts.pop_front();
            }
            if (queuedStarts.size() >= queueLength) {
                recordOverload(state, now);
                ++result.refusedByDatabase;
                continue;
            }
            auto slot = std::ranges::min_element(slotFreeAt);
            const time_point begins = std::max(now, *slot);
            *slot = begins + statementClasses[kind].work;
            if (begins > now) {
                queuedStarts.push_back(begins);
            }
            recordReadTime(state, *slot - now, now);
            ++result.served[kind];
        }
    }
    return result;
}

} // namespace

TEST_GROUP(overload_admission){};

TEST(overload_admission, everythingIsAdmittedWithoutOverload)
{
    database_state primary;
    CHECK_EQUAL(1.0, admissionProbability(primary, {2, 0, 0, 0}, time_point(100s)));
}

TEST(overload_admission, urgentStatementsAreAlwaysAdmitted)
{
    database_state primary;
    for (int times = 0; times < 50; ++times) {
        recordOverload(primary, time_point(100s));
    }
    CHECK_EQUAL(1.0, admissionProbability(primary, {1, 0, 0, 9}, time_point(100s)));
    CHECK_TRUE(admissionProbability(primary, {2, 0, 0, 0}, time_point(100s)) < 0.2);
    CHECK_EQUAL(0.0, admissionProbability(primary, {2, 0, 0, 3}, time_point(100s)));
}

TEST(overload_admission, admissionRecoversAfterOverload)
{
    database_state primary;
    for (int times = 0; times < 50; ++times) {
        recordOverload(primary, time_point(100s));
    }
    CHECK_EQUAL(1.0, admissionProbability(primary, {2, 0, 0, 0}, time_point(105s)));
}

TEST(overload_admission, urgentStatementsAreServedUnderOverload)
{
    const load_result unlimited = simulateLoad(false);
    const load_result limited = simulateLoad(true);
    const auto share = [](const load_result &result, std::size_t kind) {
        return static_cast<double>(result.served[kind]) / result.offered[kind];
    };
    // Without admission control all classes are refused alike; with it, at most one urgent statement in twenty is.
    CHECK_TRUE(share(unlimited, 0) < 0.8);
    CHECK_TRUE(share(limited, 0) > 0.95);
    // Long reads are rejected first, and hardly fewer statements are served than without admission control.
    CHECK_TRUE(share(limited, 2) < share(limited, 1));
    const auto all = [](const load_result &result) {
        return result.served[0] + result.served[1] + result.served[2];
    };
    CHECK_TRUE(all(limited) >= all(unlimited) * 95 / 100);
    CHECK_TRUE(limited.refusedByDatabase < unlimited.refusedByDatabase / 4);
}

namespace
{

/// A class of callers: operations per second over the whole group, statements per operation, and the priority for
/// admission.
struct caller_class {
    double perSecond;
    int statements;
    std::uint32_t priority;
};

/// Simulates single reads, session transactions and urgent transactions while both replicas of a group lag, and returns
/// the number of callers served. A statement takes 20 ms of one of 3 slots; a caller whose statement is refused is not
/// served.
int callersServed(bool admitAllTransactions)
{
    constexpr std::array<caller_class, 3> callers{{{140, 1, 2}, {17, 5, 2}, {10, 5, 1}}};
    constexpr std::size_t primarySlots = 3;
    constexpr std::size_t primaryQueueLength = 24;
    std::mt19937_64 random(4);
    std::uniform_real_distribution<double> draw(0, 1);
    std::array<database_state, instances> states{};
    std::vector<time_point> slotFreeAt(primarySlots, time_point{});
    std::multimap<time_point, std::pair<std::size_t, int>> nextStatements;
    std::deque<time_point> queuedStarts;
    int served = 0;
    const time_point start(100s);
    for (time_point now = start; now < start + 30s; now += 1ms) {
        for (const caller_class &kind : callers) {
            if (draw(random) >= kind.perSecond / 1000) {
                continue;
            }
            const std::size_t instance = random() % instances;
            admission_request request{kind.priority, 0, 0, 0};
            request.statements = kind.statements;
            const bool admitted =
                (admitAllTransactions && kind.statements > 1) || draw(random) < admissionProbability(states[instance], request, now);
            if (admitted) {
                nextStatements.emplace(now, std::pair(instance, kind.statements));
            }
        }
        while (!nextStatements.empty() && nextStatements.begin()->first <= now) {
            const auto [instance, remaining] = nextStatements.begin()->second;
            nextStatements.erase(nextStatements.begin());
            while (!queuedStarts.empty() && queuedStarts.front() <= now) {
                queuedStarts.pop_front();
            }
            if (queuedStarts.size() >= primaryQueueLength) {
                recordOverload(states[instance], now);
                continue;
            }
            auto slot = std::ranges::min_element(slotFreeAt);
            const time_point begins = std::max(now, *slot);
            *slot = begins + 20ms;
            if (begins > now) {
                queuedStarts.push_back(begins);
            }
            recordReadTime(states[instance], *slot - now, now);
            if (remaining > 1) {
                nextStatements.emplace(*slot, std::pair(instance, remaining - 1));
            } else {
                served += 1;
            }
        }
    }
    return served;
}

} // namespace

TEST(overload_admission, limitingTransactionsServesMoreCallers)
{
    const int unlimited = callersServed(true);
    const int limited = callersServed(false);
    CHECK_TRUE_TEXT(
        limited * 10 >= unlimited * 12, (std::to_string(limited) + " callers served, " + std::to_string(unlimited) + " without").c_str());
}
