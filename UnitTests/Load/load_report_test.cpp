#include "mustardrouter/Load/load_plot.h"
#include "mustardrouter/Load/load_profile.h"
#include "mustardrouter/Load/load_report.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

load::profile validProfile()
{
    load::profile profile;
    profile.set_deployment("kovacik");
    load::phase &phase = *profile.add_phases();
    phase.set_name("only");
    phase.set_seconds(1);
    phase.set_operations_per_second(10);
    phase.add_mix()->set_share(1);
    return profile;
}

failure causeOf(const load::profile &profile)
{
    return handleErrors(
        [&]() -> result_of<failure> {
            BOOST_LEAF_CHECK(checkProfile(profile));
            return failure::none;
        },
        [](const error &what) {
            return what.cause;
        });
}

load::report reportWith(const std::string &workClass, double goodput)
{
    load::report report;
    load::class_report &item = *report.add_runs()->add_classes();
    item.set_phase("p");
    item.set_class_(workClass);
    item.set_goodput_per_second(goodput);
    return report;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(load_report){};

TEST(load_report, profilesThatCannotRunAreRejected)
{
    CHECK(causeOf(validProfile()) == failure::none);
    load::profile unknownDeployment = validProfile();
    unknownDeployment.set_deployment("nowhere");
    CHECK(causeOf(unknownDeployment) == failure::invalidSettings);
    load::profile zeroRate = validProfile();
    zeroRate.mutable_phases(0)->set_operations_per_second(0);
    CHECK(causeOf(zeroRate) == failure::invalidSettings);
    load::profile emptyMix = validProfile();
    emptyMix.mutable_phases(0)->clear_mix();
    CHECK(causeOf(emptyMix) == failure::invalidSettings);
    load::profile unknownGroup = validProfile();
    unknownGroup.add_faults()->set_group(3);
    CHECK(causeOf(unknownGroup) == failure::invalidSettings);
}

TEST(load_report, comparisonShowsChangesAndClassesOfOneReportOnly)
{
    const std::string both = compareReports(reportWith("SAVE", 100), reportWith("SAVE", 150));
    CHECK(contains(both, "+50.0 %"));
    const std::string oneEach = compareReports(reportWith("SAVE", 100), reportWith("BROWSE", 150));
    CHECK(contains(oneEach, "p SAVE goodput/s"));
    CHECK(contains(oneEach, "p BROWSE goodput/s"));
    CHECK(contains(oneEach, " - "));
}

TEST(load_report, tableShowsBrokenPromises)
{
    load::report report;
    report.add_runs()->mutable_promises()->set_lost_writes(2);
    CHECK(!allPromisesKept(report.runs(0).promises()));
    CHECK(contains(toTable(report), "lost writes 2"));
}

TEST(load_report, plotMarksFaultsAndEscapesText)
{
    load::run_report run;
    run.add_slices()->set_done(3);
    load::fault_mark &mark = *run.add_faults();
    mark.set_at_seconds(1.5);
    mark.set_what("kill <a&b>");
    const std::string svg = plotRun(run, "title");
    CHECK(contains(svg, "1.5 s: kill &lt;a&amp;b&gt;"));
    CHECK(contains(svg, "</svg>"));
}
