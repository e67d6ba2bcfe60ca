#include "review/standin-2/world.h"

#include <algorithm>
#include <iostream>

/// DRAIN: the store's answers to calls with allow_stale are six seconds old while a primary is replaced as planned.
namespace mustardrouter::review
{

namespace
{

using namespace std::chrono_literals;

constexpr duration clientsFrom = 3s;
constexpr duration staleFrom = 10s;
constexpr duration otherChangeAt = 11500ms;
constexpr duration primaryLeavesAt = 12s;
constexpr duration staleUntil = 24s;
constexpr duration end = 30s;
/// Largest lag of stale reads in the users' days.
constexpr duration staleness = 6s;
/// Bound of the users' deployments (drain_ms).
constexpr duration drainTime = 7s;
/// A promotion takes 1,000 ms there, 300 of them in the stand-in store.
constexpr duration furtherPromotionTime = 700ms;
/// The stand-in records when a statement ran, not when it arrived: it may have waited for a slot.
constexpr duration waitForSlot = 50ms;

verdict play(world &all)
{
    store_front &front = all.front();
    front.delayOrders(furtherPromotionTime);
    all.at(clientsFrom, [&] {
        all.startClients();
    });
    if (playsTrouble()) {
        all.at(staleFrom, [&] {
            all.record("from now on calls with allow_stale see the store as it was 6 s ago");
            front.setStaleness(staleness);
        });
        all.at(staleUntil, [&] {
            front.setStaleness({});
        });
    }
    all.at(otherChangeAt, [&] {
        all.changeEntry("db2");
    });
    all.at(primaryLeavesAt, [&] {
        standin_member *primary = all.primary();
        all.record("the store accepts: the primary " + primary->name.value() + " is draining; a new database has started");
        all.deployment().leave(all.group(), primary->name);
    });
    if (!all.runUntil(end)) {
        return verdict::notRun;
    }
    std::size_t late = 0;
    duration latest{};
    for (const late_run &run : all.history().lateRuns()) {
        const duration after = run.ranAt - run.announcedAt;
        if (after <= drainTime + waitForSlot) {
            continue;
        }
        late += 1;
        latest = std::max(latest, after);
        all.record(run.violation + " (" + std::to_string(after / 1ms) + " ms after the acknowledgement)");
    }
    all.record("single statements that a draining database ran later than 7.05 s after the acknowledgement: " + std::to_string(late)
               + ", the last one after " + std::to_string(latest / 1ms) + " ms");
    for (const auto &[code, count] : all.tally().answers) {
        all.record("answers " + code + ": " + std::to_string(count));
    }
    for (const std::string &violation : all.history().violations()) {
        all.record("also seen: " + violation);
    }
    const auto served = all.servedBetween(clientsFrom, primaryLeavesAt);
    all.stop();
    constexpr double leastServed = 0.9;
    if (served.second == 0 || served.first < leastServed) {
        return verdict::notRun;
    }
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace mustardrouter::review

int main(int count, char **arguments)
{
    using namespace mustardrouter::review;
    constexpr int needed = 4;
    if (count != needed) {
        std::cerr << "usage: " << arguments[0] << " PROGRAM FOLDER RECORD\n";
        return static_cast<int>(verdict::notRun);
    }
    world all({.program = arguments[1], .folder = arguments[2], .record = arguments[3]});
    const verdict result = all.start() ? play(all) : verdict::notRun;
    all.record(result == verdict::broken ? "DRAIN is broken" : result == verdict::held ? "DRAIN held" : "the case could not run");
    return static_cast<int>(result);
}
