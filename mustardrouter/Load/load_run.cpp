#include "mustardrouter/Load/load_run.h"

#include "mustardrouter/Load/fault_script.h"
#include "mustardrouter/Load/final_states.h"
#include "mustardrouter/Load/load_profile.h"
#include "mustardrouter/Load/load_report.h"
#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Load/workload.h"

#include <algorithm>
#include <thread>

namespace mustardrouter
{

namespace
{

constexpr std::chrono::seconds servingTimeout{20};
constexpr std::uint32_t defaultInstances = 3;

load_instant secondsAfter(load_instant startedAt, double seconds)
{
    return startedAt + std::chrono::duration_cast<load_instant::duration>(std::chrono::duration<double>(seconds));
}

double durationSeconds(const load::profile &profile)
{
    double seconds = 0;
    for (const load::phase &phase : profile.phases()) {
        seconds += phase.seconds();
    }
    return seconds;
}

std::vector<load::fault> faultsByTime(const load::profile &profile)
{
    std::vector<load::fault> faults(profile.faults().begin(), profile.faults().end());
    std::ranges::stable_sort(faults, {}, &load::fault::at_seconds);
    return faults;
}

void addDatabaseUse(testbed &bed, const load_statistics &statistics, load::run_report &report)
{
    for (std::size_t group = 0; group < bed.deploymentSettings().groups; ++group) {
        for (database_standin *database : bed.databasesOf(groupNameOf(bed.deploymentSettings(), group))) {
            load::database_use &use = *report.add_databases();
            use.set_database(database->name());
            use.set_most_connections(database->mostConnections());
            use.set_refused_connections(database->refusedConnections());
            use.set_connection_limit(bed.deploymentSettings().connections);
            const auto found = statistics.statementsByDatabase.find(database->name());
            use.set_statements(found == statistics.statementsByDatabase.end() ? 0 : found->second);
        }
    }
}

} // namespace

result_of<load::run_report> runProfile(const load::profile &profile, router_kind router)
{
    const deployment sizes = deploymentFor(profile);
    testbed bed(sizes, profile.instances() > 0 ? profile.instances() : defaultInstances);
    BOOST_LEAF_CHECK(bed.start());
    if (!bed.waitUntilServing(servingTimeout)) {
        return fail(failure::noQuorum, "not all groups are served within the timeout");
    }
    workload_settings workloadSettings = workloadFor(profile, sizes);
    workloadSettings.entries = bed.entryAddresses();
    workloadSettings.primaryOnly = router == router_kind::naive;
    if (router == router_kind::naive) {
        for (auto &[workClass, settings] : workloadSettings.classes) {
            settings.service = sizes.service;
        }
    }
    workload run(workloadSettings);
    fault_script script(bed, run);
    const load_instant startedAt = std::chrono::steady_clock::now();
    run.start();
    for (const load::fault &fault : faultsByTime(profile)) {
        std::this_thread::sleep_until(secondsAfter(startedAt, fault.at_seconds()));
        script.apply(fault, startedAt);
    }
    std::this_thread::sleep_until(secondsAfter(startedAt, durationSeconds(profile)));
    run.finish();
    script.restoreAll();
    if (!bed.waitUntilServing(servingTimeout)) {
        return fail(failure::noQuorum, "not all groups are served again within the timeout after the faults");
    }
    load::run_report report = makeRunReport(run.statistics(), workloadSettings.phases);
    report.set_router(router == router_kind::naive ? "naive" : "mustardrouter");
    report.mutable_faults()->Assign(script.marks().begin(), script.marks().end());
    report.set_shutdowns(script.shutdowns());
    report.set_clean_shutdowns(script.cleanShutdowns());
    addDatabaseUse(bed, run.statistics(), report);
    *report.mutable_promises() = toReport(check(run.observedHistory(), readFinalStates(bed)));
    for (const std::string &group : workloadSettings.groups) {
        const auto gap = longestWriteGap(run.observedHistory(), group, startedAt, secondsAfter(startedAt, durationSeconds(profile)));
        (*report.mutable_longest_write_gap_ms())[group] = static_cast<std::uint64_t>(gap.count());
    }
    return report;
}

} // namespace mustardrouter
