#include "mustardrouter/Load/load_plot.h"
#include "mustardrouter/Load/load_profile.h"
#include "mustardrouter/Load/load_report.h"
#include "mustardrouter/Load/load_run.h"
#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <fstream>
#include <iostream>

namespace mustardrouter
{

namespace
{

namespace po = boost::program_options;

struct load_options {
    std::string profile;
    std::string report;
    std::string plot;
    std::string baseline;
    std::vector<std::string> compare;
    double scale = 1;
    double rate = 1;
    std::uint64_t seed = 0;
};

result_of<void> writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        return fail(failure::ioError, path + ": cannot be written");
    }
    return {};
}

result_of<exit_code> compare(const load_options &options)
{
    load::report left;
    load::report right;
    BOOST_LEAF_CHECK(readJsonFile(options.compare[0], left));
    BOOST_LEAF_CHECK(readJsonFile(options.compare[1], right));
    std::cout << compareReports(left, right);
    return exit_code::success;
}

/// File of a run's plot; runs after the first get the router's name appended to the stem.
std::string plotName(const std::string &plot, const load::run_report &run, bool first)
{
    if (first) {
        return plot;
    }
    const std::size_t dot = plot.rfind('.');
    return plot.substr(0, dot) + "-" + run.router() + (dot == std::string::npos ? std::string() : plot.substr(dot));
}

result_of<void> writeOutputs(const load_options &options, const load::report &report)
{
    if (!options.report.empty()) {
        BOOST_LEAF_CHECK(writeFile(options.report, writeJson(report, true) + "\n"));
    }
    if (options.plot.empty()) {
        return {};
    }
    for (const load::run_report &run : report.runs()) {
        const bool first = &run == &report.runs(0);
        BOOST_LEAF_CHECK(writeFile(plotName(options.plot, run, first), plotRun(run, report.profile() + ", " + run.router())));
    }
    return {};
}

result_of<exit_code> measure(const load_options &options)
{
    BOOST_LEAF_AUTO(profile, readProfile(options.profile));
    for (load::phase &phase : *profile.mutable_phases()) {
        phase.set_seconds(phase.seconds() * options.scale);
        phase.set_operations_per_second(phase.operations_per_second() * options.rate);
    }
    for (load::fault &fault : *profile.mutable_faults()) {
        fault.set_at_seconds(fault.at_seconds() * options.scale);
    }
    if (options.seed > 0) {
        profile.set_seed(options.seed);
    }
    load::report report;
    report.set_profile(profile.name());
    report.set_deployment(profile.deployment());
    report.set_seed(profile.seed());
    BOOST_LEAF_AUTO(product, runProfile(profile, router_kind::product));
    *report.add_runs() = product;
    if (options.baseline == "naive") {
        BOOST_LEAF_AUTO(naive, runProfile(profile, router_kind::naive));
        *report.add_runs() = naive;
    }
    std::cout << toTable(report);
    BOOST_LEAF_CHECK(writeOutputs(options, report));
    return allPromisesKept(product.promises()) && withinConnectionLimits(product) ? exit_code::success : exit_code::failed;
}

} // namespace

exit_code runLoad(const arguments &given)
{
    load_options options;
    command_options command("load", "--profile FILE [--report FILE] [--plot FILE.svg] [--baseline naive] | --compare A.json B.json");
    command.options.add_options()("profile", po::value(&options.profile), "JSON file with the load profile");
    command.options.add_options()("report", po::value(&options.report), "file to write the JSON report to");
    command.options.add_options()("plot", po::value(&options.plot), "SVG file to write a plot over time to");
    command.options.add_options()(
        "baseline", po::value(&options.baseline), "\"naive\": run the profile again with all statements sent to primaries");
    command.options.add_options()("compare", po::value(&options.compare)->multitoken(), "two reports to print side by side");
    command.options.add_options()(
        "scale", po::value(&options.scale)->default_value(1), "factor applied to the profile's phase lengths and fault times");
    command.options.add_options()("rate", po::value(&options.rate)->default_value(1), "factor applied to the profile's operation rates");
    command.options.add_options()("seed", po::value(&options.seed)->default_value(0), "overrides the seed of the profile; 0: no override");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const bool comparing = options.compare.size() == 2;
    const bool valid = (comparing || (options.compare.empty() && !options.profile.empty())) && options.scale > 0 && options.rate > 0
                       && (options.baseline.empty() || options.baseline == "naive");
    if (!valid) {
        std::cerr << "usage: mustardrouter load " << command.usage << '\n';
        return exit_code::invalidInput;
    }
    return handleErrors(
        [&]() -> result_of<exit_code> {
            return comparing ? compare(options) : measure(options);
        },
        [](const error &what) {
            std::cerr << "mustardrouter load: " << toString(what.cause) << ": " << what.detail << '\n';
            return what.cause == failure::invalidSettings ? exit_code::invalidInput : exit_code::failed;
        });
}

} // namespace mustardrouter
