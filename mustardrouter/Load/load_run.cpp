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

constexpr std::chrono::seconds startPatience{20};
constexpr std::uint32_t defaultInstances = 3;

load_instant after(load_instant start, double seconds)
{
    return start + std::chrono::duration_cast<load_instant::duration>(std::chrono::duration<double>(seconds));
}

double lengthOf(const load::profile &profile)
{
    double seconds = 0;
    for (const load::phase &phase : profile.phases()) {
        seconds += phase.seconds();
    }
    return seconds;
}

std::vector<load::fault> inOrder(const load::profile &profile)
{
    std::vector<load::fault> faults(profile.faults().begin(), profile.faults().end());
    std::ranges::stable_sort(faults, {}, &load::fault::at_seconds);
    return faults;
}

void addDatabases(testbed &bed, const load_statistics &statistics, load::run_report &report)
{
    for (std::size_t group = 0; group < bed.sizes().groups; ++group) {
        for (database_standin *database : bed.databasesOf(groupNameOf(bed.sizes(), group))) {
            load::database_use &use = *report.add_databases();
            use.set_database(database->name());
            use.set_most_connections(database->mostConnections());
            use.set_refused_connections(database->refusedConnections());
            use.set_connection_limit(bed.sizes().connections);
            const auto found = statistics.byDatabase.find(database->name());
            use.set_statements(found == statistics.byDatabase.end() ? 0 : found->second);
        }
    }
}

} // namespace

result_of<load::run_report> runProfile(const load::profile &profile, router_kind router)
{
    const deployment sizes = deploymentFor(profile);
    testbed bed(sizes, profile.instances() > 0 ? profile.instances() : defaultInstances);
    BOOST_LEAF_CHECK(bed.start());
    if (!bed.waitUntilServing(startPatience)) {
        return fail(failure::noQuorum, "the groups are not served");
    }
    workload_settings shape = workloadFor(profile, sizes);
    shape.entries = bed.entries();
    shape.primaryOnly = router == router_kind::naive;
    if (router == router_kind::naive) {
        for (auto &[workClass, settings] : shape.classes) {
            settings.service = sizes.service;
        }
    }
    workload run(shape);
    fault_script script(bed, run);
    const load_instant start = std::chrono::steady_clock::now();
    run.start();
    for (const load::fault &fault : inOrder(profile)) {
        std::this_thread::sleep_until(after(start, fault.at_seconds()));
        script.apply(fault, start);
    }
    std::this_thread::sleep_until(after(start, lengthOf(profile)));
    run.finish();
    script.restoreAll();
    if (!bed.waitUntilServing(startPatience)) {
        return fail(failure::noQuorum, "the groups are not served again after the faults");
    }
    load::run_report report = makeRunReport(run.statistics(), shape.phases);
    report.set_router(router == router_kind::naive ? "naive" : "mustardrouter");
    report.mutable_faults()->Assign(script.marks().begin(), script.marks().end());
    report.set_shutdowns(script.shutdowns());
    report.set_clean_shutdowns(script.cleanShutdowns());
    addDatabases(bed, run.statistics(), report);
    *report.mutable_promises() = toReport(check(run.seen(), readFinalStates(bed)));
    for (const std::string &group : shape.groups) {
        const auto gap = longestWriteGap(run.seen(), group, start, after(start, lengthOf(profile)));
        (*report.mutable_longest_write_gap_ms())[group] = static_cast<std::uint64_t>(gap.count());
    }
    return report;
}

} // namespace mustardrouter
