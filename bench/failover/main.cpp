#include "figures.h"
#include "group_simulation.h"
#include "loopback.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr duration settleDuration = 3s;
constexpr duration recoveryTimeout = 20s;
constexpr duration repairDuration = 3s;

struct scenario {
    const char *name;
    std::function<void(group_simulation &)> fail;
};

simulated_delays delaysOf(const deployment &of)
{
    simulated_delays delays;
    delays.dataCentreDelay = of.dataCentreDelay;
    delays.callerDelay = of.callerDelay;
    delays.connectionCost = of.connectionCost;
    return delays;
}

const std::vector<scenario> &scenarios()
{
    static const std::vector<scenario> all{
        {"primary killed", &group_simulation::killPrimary},
        {"primary silent", &group_simulation::silencePrimary},
        {"owner dead", &group_simulation::killOwner},
        {"primary killed, platform down",
         [](group_simulation &group) {
             group.setPlatformDown(true);
             group.killPrimary();
         }},
        {"primary silent, platform down",
         [](group_simulation &group) {
             group.setPlatformDown(true);
             group.silencePrimary();
         }},
        {"owner dead, platform down",
         [](group_simulation &group) {
             group.setPlatformDown(true);
             group.killOwner();
         }},
        {"owner dead and primary silent",
         [](group_simulation &group) {
             group.silencePrimary();
             group.killOwner();
         }},
    };
    return all;
}

gap_figures measure(const scenario &what, const simulated_delays &delays, const ownership_settings &settings, std::size_t failovers)
{
    gap_figures gathered;
    for (std::size_t seed = 1; seed <= failovers; ++seed) {
        group_simulation group(delays, settings, seed);
        group.runFor(settleDuration + duration(static_cast<std::int64_t>(seed * 977 % 100000)));
        what.fail(group);
        group.runUntilDone(recoveryTimeout);
        add(gathered, group.times());
    }
    return gathered;
}

void measureGaps(const deployment &of, std::size_t failovers)
{
    std::printf("\n## %s: gaps in virtual time, seeds 1 to %zu\n\nmedian / 99th percentile / worst in ms\n\n", of.name.c_str(), failovers);
    std::printf("| failure | done | unfinished | gap | detection | fence | promotion | resume |\n| --- | --- | --- | --- | --- | --- | --- "
                "| --- |\n");
    for (const scenario &what : scenarios()) {
        printRow(what.name, measure(what, delaysOf(of), {}, failovers));
    }
}

void measureConfirmation(const deployment &of)
{
    group_simulation group(delaysOf(of), {}, 1);
    group.runFor(30s);
    std::printf("\n%s: a confirmation adds to a write: %s ms (%zu writes)\n",
                of.name.c_str(),
                describe({"confirmation", group.confirmationTimes()}).c_str(),
                group.confirmationTimes().size());
}

void measureBrokenConnections(const deployment &of, std::size_t times)
{
    std::size_t failovers = 0;
    for (std::size_t seed = 1; seed <= times; ++seed) {
        group_simulation group(delaysOf(of), {}, seed);
        group.runFor(settleDuration);
        group.breakPrimaryConnection();
        group.runFor(repairDuration);
        failovers += group.endedTerms();
    }
    std::printf(
        "\n%s: one broken control connection to a healthy primary: %zu failovers in %zu trials\n", of.name.c_str(), failovers, times);
}

double falseFailovers(const deployment &of, const ownership_settings &settings, duration writeInterval, std::size_t hours)
{
    simulated_delays slow = delaysOf(of);
    slow.slowShare = 0.01;
    slow.writeInterval = writeInterval;
    group_simulation group(slow, settings, 1);
    group.runFor(std::chrono::hours(hours));
    return static_cast<double>(group.endedTerms()) / static_cast<double>(hours);
}

void measureSuspicion(const deployment &of, std::size_t failovers, std::size_t hours)
{
    std::printf(
        "\n## %s: suspicion of a silent primary, 1%% of answers slow (exponential, mean 100 ms), %zu h each\n\n", of.name.c_str(), hours);
    std::printf("| suspicion ms | connection renewed after ms | false an hour, 500 writes/s | false an hour, 2 writes/s | gap |\n"
                "| --- | --- | --- | --- | --- |\n");
    for (const int millis : {100, 150, 200, 250, 300, 400, 600}) {
        ownership_settings settings;
        settings.primaryReportTimeout = std::chrono::milliseconds(millis);
        settings.controlConnectionTimeout = settings.primaryReportTimeout / 2;
        const double busy = falseFailovers(of, settings, 2ms, hours);
        const double quiet = falseFailovers(of, settings, 500ms, hours);
        const gap_figures gaps = measure(scenarios()[1], delaysOf(of), settings, failovers);
        std::printf("| %d | %d | %.1f | %.1f | %s |\n", millis, millis / 2, busy, quiet, describe(gaps.gap).c_str());
        std::fflush(stdout);
    }
}

} // namespace

/// Usage: failover [failovers] [hours of slow answers] [failovers over loopback] [deployment]
int main(int count, char **arguments)
{
    const auto number = [&](int index, std::size_t otherwise) {
        return index < count ? static_cast<std::size_t>(std::strtoul(arguments[index], nullptr, 10)) : otherwise;
    };
    const std::size_t failovers = number(1, 200);
    const std::size_t hours = number(2, 2);
    const std::size_t overLoopback = number(3, 0);
    bool fine = true;
    const std::string only = count > 4 ? arguments[4] : "";
    for (const char *name : {"kovacik", "granite-notch"}) {
        if (!only.empty() && only != name) {
            continue;
        }
        const deployment of = *findDeployment(name);
        measureGaps(of, failovers);
        measureConfirmation(of);
        measureBrokenConnections(of, failovers);
        if (hours > 0) {
            measureSuspicion(of, failovers, hours);
        }
        if (overLoopback > 0) {
            fine = measureOverLoopback(of, overLoopback) && fine;
        }
    }
    return fine ? 0 : 1;
}
