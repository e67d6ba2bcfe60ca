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

failure refusalOf(const load::profile &profile)
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

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(load_report){};

TEST(load_report, profilesThatCannotRunAreRefused)
{
    CHECK(refusalOf(validProfile()) == failure::none);
    load::profile elsewhere = validProfile();
    elsewhere.set_deployment("nowhere");
    CHECK(refusalOf(elsewhere) == failure::invalidSettings);
    load::profile still = validProfile();
    still.mutable_phases(0)->set_operations_per_second(0);
    CHECK(refusalOf(still) == failure::invalidSettings);
    load::profile empty = validProfile();
    empty.mutable_phases(0)->clear_mix();
    CHECK(refusalOf(empty) == failure::invalidSettings);
    load::profile far = validProfile();
    far.add_faults()->set_group(3);
    CHECK(refusalOf(far) == failure::invalidSettings);
}

TEST(load_report, comparisonShowsTheChangeAndWhatOnlyOneHas)
{
    const std::string both = compareReports(reportWith("SAVE", 100), reportWith("SAVE", 150));
    CHECK(has(both, "+50.0 %"));
    const std::string oneEach = compareReports(reportWith("SAVE", 100), reportWith("BROWSE", 150));
    CHECK(has(oneEach, "p SAVE goodput/s"));
    CHECK(has(oneEach, "p BROWSE goodput/s"));
    CHECK(has(oneEach, " - "));
}

TEST(load_report, aBrokenPromiseIsShown)
{
    load::report report;
    report.add_runs()->mutable_promises()->set_lost_writes(2);
    CHECK(!isClean(report.runs(0).promises()));
    CHECK(has(toTable(report), "lost writes 2"));
}

TEST(load_report, thePlotMarksFaultsAndEscapesText)
{
    load::run_report run;
    run.add_slices()->set_done(3);
    load::fault_mark &mark = *run.add_faults();
    mark.set_at_seconds(1.5);
    mark.set_what("kill <a&b>");
    const std::string svg = plotRun(run, "title");
    CHECK(has(svg, "1.5 s: kill &lt;a&amp;b&gt;"));
    CHECK(has(svg, "</svg>"));
}
