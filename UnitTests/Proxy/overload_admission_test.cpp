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

/// A kind of statement of the load: its rate for the whole group, its work and whether it must run at the primary.
struct statement_class {
    double perSecond;
    duration work;
    std::uint32_t priority;
};

/// Urgent ones, reads of a session, and long reads, as on gnsf-booking when both replicas of a group lag; together they ask
/// a primary of 6 slots for 1.7 times what it can run.
constexpr std::array<statement_class, 3> load{{{48, 11ms, 1}, {220, 33ms, 2}, {48, 55ms, 2}}};
constexpr std::size_t slots = 6;
constexpr std::size_t queueLength = 48;
constexpr int instances = 20;

struct outcome_of_load {
    std::array<int, 3> asked{};
    std::array<int, 3> served{};
    int refusedByDatabase = 0;
};

/// Plays 30 s of the load through the gate of each instance and one primary; a refused statement is not tried again.
outcome_of_load play(bool withGate)
{
    std::mt19937_64 random(3);
    std::array<database_state, instances> views{};
    outcome_of_load result;
    std::vector<time_point> slotFree(slots, time_point{});
    const time_point start(100s);
    std::deque<time_point> startsOfQueued;
    for (time_point now = start; now < start + 30s; now += 1ms) {
        for (std::size_t kind = 0; kind < load.size(); ++kind) {
            if (std::uniform_real_distribution<double>(0, 1)(random) >= load[kind].perSecond / 1000) {
                continue;
            }
            ++result.asked[kind];
            database_state &view = views[random() % instances];
            const admission_request request{load[kind].priority, static_cast<double>(load[kind].work.count()), 33'000, 0};
            if (withGate && std::uniform_real_distribution<double>(0, 1)(random) >= admissionProbability(view, request, now)) {
                continue;
            }
            while (!startsOfQueued.empty() && startsOfQueued.front() <= now) {
                startsOfQueued.pop_front();
            }
            if (startsOfQueued.size() >= queueLength) {
                recordOverload(view, now);
                ++result.refusedByDatabase;
                continue;
            }
            auto slot = std::ranges::min_element(slotFree);
            const time_point begins = std::max(now, *slot);
            *slot = begins + load[kind].work;
            if (begins > now) {
                startsOfQueued.push_back(begins);
            }
            recordReadTime(view, *slot - now, now);
            ++result.served[kind];
        }
    }
    return result;
}

} // namespace

TEST_GROUP(overload_admission){};

TEST(overload_admission, everybodyPassesWhileNothingIsRefused)
{
    database_state primary;
    CHECK_EQUAL(1.0, admissionProbability(primary, {2, 0, 0, 0}, time_point(100s)));
}

TEST(overload_admission, urgentStatementsAlwaysPass)
{
    database_state primary;
    for (int times = 0; times < 50; ++times) {
        recordOverload(primary, time_point(100s));
    }
    CHECK_EQUAL(1.0, admissionProbability(primary, {1, 0, 0, 9}, time_point(100s)));
    CHECK_TRUE(admissionProbability(primary, {2, 0, 0, 0}, time_point(100s)) < 0.2);
    CHECK_EQUAL(0.0, admissionProbability(primary, {2, 0, 0, 3}, time_point(100s)));
}

TEST(overload_admission, itOpensAgainAfterTheOverload)
{
    database_state primary;
    for (int times = 0; times < 50; ++times) {
        recordOverload(primary, time_point(100s));
    }
    CHECK_EQUAL(1.0, admissionProbability(primary, {2, 0, 0, 0}, time_point(105s)));
}

TEST(overload_admission, urgentCallersAreServedThroughAnOverloadThatRefusesThemWithoutIt)
{
    const outcome_of_load naive = play(false);
    const outcome_of_load gated = play(true);
    const auto share = [](const outcome_of_load &result, std::size_t kind) {
        return static_cast<double>(result.served[kind]) / result.asked[kind];
    };
    // Without the gate all kinds lose alike; with it, at most one urgent caller in twenty is refused.
    CHECK_TRUE(share(naive, 0) < 0.8);
    CHECK_TRUE(share(gated, 0) > 0.95);
    // Long reads make room first, and no more callers are turned away than before.
    CHECK_TRUE(share(gated, 2) < share(gated, 1));
    const auto all = [](const outcome_of_load &result) {
        return result.served[0] + result.served[1] + result.served[2];
    };
    CHECK_TRUE(all(gated) >= all(naive) * 95 / 100);
    CHECK_TRUE(gated.refusedByDatabase < naive.refusedByDatabase / 4);
}

namespace
{

/// One kind of caller: operations a second for the whole group, statements of each, and the priority that the gate is told.
struct caller_class {
    double perSecond;
    int statements;
    std::uint32_t priority;
};

/// As on kovacik-popis when both replicas of a group lag: single reads, transactions of sessions, urgent transactions. A
/// statement takes 20 ms of one of 3 slots; a caller whose statement is refused is not served. Gives the callers served.
int callersServed(bool transactionsPass)
{
    constexpr std::array<caller_class, 3> callers{{{140, 1, 2}, {17, 5, 2}, {10, 5, 1}}};
    constexpr std::size_t fewSlots = 3;
    constexpr std::size_t queue = 24;
    std::mt19937_64 random(4);
    std::uniform_real_distribution<double> draw(0, 1);
    std::array<database_state, instances> views{};
    std::vector<time_point> slotFree(fewSlots, time_point{});
    std::multimap<time_point, std::pair<std::size_t, int>> next;
    std::deque<time_point> startsOfQueued;
    int served = 0;
    const time_point start(100s);
    for (time_point now = start; now < start + 30s; now += 1ms) {
        for (const caller_class &kind : callers) {
            if (draw(random) >= kind.perSecond / 1000) {
                continue;
            }
            const std::size_t at = random() % instances;
            admission_request request{kind.priority, 0, 0, 0};
            request.statements = kind.statements;
            const bool passes = (transactionsPass && kind.statements > 1) || draw(random) < admissionProbability(views[at], request, now);
            if (passes) {
                next.emplace(now, std::pair(at, kind.statements));
            }
        }
        while (!next.empty() && next.begin()->first <= now) {
            const auto [at, left] = next.begin()->second;
            next.erase(next.begin());
            while (!startsOfQueued.empty() && startsOfQueued.front() <= now) {
                startsOfQueued.pop_front();
            }
            if (startsOfQueued.size() >= queue) {
                recordOverload(views[at], now);
                continue;
            }
            auto slot = std::ranges::min_element(slotFree);
            const time_point begins = std::max(now, *slot);
            *slot = begins + 20ms;
            if (begins > now) {
                startsOfQueued.push_back(begins);
            }
            recordReadTime(views[at], *slot - now, now);
            if (left > 1) {
                next.emplace(*slot, std::pair(at, left - 1));
            } else {
                served += 1;
            }
        }
    }
    return served;
}

} // namespace

TEST(overload_admission, transactionsThatAreKeptOutLeaveRoomForMoreCallers)
{
    const int naive = callersServed(true);
    const int gated = callersServed(false);
    CHECK_TRUE_TEXT(gated * 10 >= naive * 12, (std::to_string(gated) + " callers served, " + std::to_string(naive) + " without").c_str());
}
