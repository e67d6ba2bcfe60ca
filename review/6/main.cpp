#include "review/standin-2/world.h"

#include <csignal>
#include <iostream>

/// RECOVER: a machine is replaced for good, with SIGTERM; its entry stays and makes it the only holder of a service's connections. Later
/// the primary is replaced as planned, and all processes are killed. Nobody orders the promotion.
namespace mustardrouter::review
{

namespace
{

using namespace std::chrono_literals;

constexpr duration clientsFrom = 3s;
constexpr duration machineStoppedAt = 10s;
constexpr duration machineReplacedAt = 17s;
constexpr duration primaryLeavesAt = 30s;
constexpr duration allKilledAt = 32s;
constexpr duration allBackAt = 33s;
/// Bound of the users' deployments (recover_s).
constexpr duration recoverWithin = 12s;
constexpr duration end = 65s;
constexpr double leastShare = 0.25;

std::string percentOf(std::pair<double, std::size_t> served)
{
    return std::to_string(static_cast<int>(served.first * 100)) + " % of " + std::to_string(served.second);
}

verdict play(world &all)
{
    const bool trouble = playsTrouble();
    all.at(clientsFrom, [&] {
        all.startClients();
    });
    if (trouble) {
        all.at(machineStoppedAt, [&] {
            all.record("machine " + all.machineAt(2).name() + " gets SIGTERM and leaves for good");
            all.machineAt(2).gone = true;
            all.machineAt(2).kill(SIGTERM);
        });
        all.at(machineReplacedAt, [&] {
            all.record(all.machineAt(2).reap() ? "it has ended by itself" : "it still runs after its grace period");
            all.machineAt(2).powerOff();
            all.record("machine edge-dc-c-2 comes in its place, at another address");
            all.addMachine("edge-dc-c-2", "dc-c");
        });
    }
    all.at(primaryLeavesAt, [&] {
        standin_member *primary = all.primary();
        all.record("the primary " + primary->name.value() + " is to be replaced: it drains for 7 s, a new database has started");
        all.deployment().leave(all.group(), primary->name);
    });
    all.at(allKilledAt, [&] {
        all.record("all processes are killed right after a configuration was acknowledged");
        all.deployment().publishConfiguration();
        for (const auto &one : all.machines()) {
            one->powerOff();
        }
    });
    all.at(allBackAt, [&] {
        all.record("the machines are back");
        for (const auto &one : all.machines()) {
            if (!one->gone) {
                one->start();
            }
        }
    });
    if (!all.runUntil(end)) {
        return verdict::notRun;
    }
    const auto before = all.servedBetween(allKilledAt - 8s, allKilledAt);
    const auto after = all.servedBetween(allBackAt + recoverWithin, end - 5s);
    for (duration from = clientsFrom; from < end; from += 3s) {
        all.record("served of the operations begun in the 3 s from " + std::to_string(from / 1s)
                   + " s on: " + percentOf(all.servedBetween(from, from + 3s)));
    }
    standin_member *primary = all.primary();
    all.record("primary at the end: " + (primary != nullptr && primary->running ? primary->name.value() : std::string("none")));
    for (const auto &[code, count] : all.tally().answers) {
        all.record("answers " + code + ": " + std::to_string(count));
    }
    for (const std::string &violation : all.history().violations()) {
        all.record("also seen: " + violation);
    }
    all.record("before the final fault " + percentOf(before) + ", later than 12 s after the return " + percentOf(after));
    all.stop();
    if (before.first < leastShare || before.second == 0 || after.second == 0) {
        return verdict::notRun;
    }
    return after.first < leastShare ? verdict::broken : verdict::held;
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
    world all({.program = arguments[1], .folder = arguments[2], .record = arguments[3], .machines = 3, .clients = 12, .connections = 9});
    const verdict result = all.start() ? play(all) : verdict::notRun;
    all.record(result == verdict::broken ? "RECOVER is broken" : result == verdict::held ? "RECOVER held" : "the case could not run");
    return static_cast<int>(result);
}
