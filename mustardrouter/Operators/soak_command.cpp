#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Soak/soak_run.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

struct soak_options {
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    double minutes = 0.4;
    std::size_t instances = 0;
    std::size_t clients = 4;
    std::string folder;
    /// Runs the same program even if its file has been replaced, as by a rebuild.
    std::string program = "/proc/self/exe";
    std::vector<std::size_t> only;
    bool planOnly = false;
    bool keepLogs = false;
};

/// Runs one seed; returns whether every promise was kept. The folder of a failed seed is kept with its plan, logs and report.
bool runSeed(const soak_options &options, std::uint64_t seed)
{
    soak_settings settings;
    settings.seed = seed;
    settings.length = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::ratio<60>>(options.minutes));
    settings.instances = options.instances;
    settings.clientsPerInstance = options.clients;
    settings.program = options.program;
    settings.folder = options.folder + "/soak-" + std::to_string(seed);
    settings.chosenFaults.insert(options.only.begin(), options.only.end());
    std::filesystem::remove_all(settings.folder);
    std::filesystem::create_directories(settings.folder);
    const soak_report report = soak_run(settings).run();
    std::cout << "seed " << seed << ": " << (report.violations.empty() ? "kept" : "BROKEN") << '\n' << report.summary;
    std::ofstream file(settings.folder + "/report.txt");
    file << report.summary;
    constexpr std::size_t maxPrinted = 20;
    for (std::size_t index = 0; index < report.violations.size(); ++index) {
        file << report.violations[index] << '\n';
        if (index < maxPrinted) {
            std::cout << "  " << report.violations[index] << '\n';
        }
    }
    if (report.violations.empty() && !options.keepLogs) {
        std::filesystem::remove_all(settings.folder);
    } else {
        std::cout << "  plan, logs and full report: " << settings.folder << '\n';
    }
    std::cout << std::flush;
    return report.violations.empty();
}

} // namespace

exit_code runSoak(const arguments &given)
{
    soak_options options;
    command_options command("soak", "[--seed N] [--seeds COUNT] [--minutes M] [--instances N] [--faults 1 2 ..] [--plan]");
    command.options.add_options()("seed", po::value(&options.seed)->default_value(options.seed), "seed of the first fault plan");
    command.options.add_options()("seeds", po::value(&options.seeds)->default_value(options.seeds), "number of consecutive seeds to run");
    command.options.add_options()("minutes",
                                  po::value(&options.minutes)->default_value(options.minutes),
                                  "length of each run, rounded to whole rounds of faults and recovery");
    command.options.add_options()(
        "instances", po::value(&options.instances)->default_value(0), "number of instances (processes); 0: chosen by the seed");
    command.options.add_options()("clients", po::value(&options.clients)->default_value(options.clients), "number of clients per instance");
    command.options.add_options()(
        "folder", po::value(&options.folder)->default_value("."), "folder in which the folders of failed seeds are kept");
    command.options.add_options()("program", po::value(&options.program), "executable that the instances run; default: this one");
    command.options.add_options()(
        "faults", po::value(&options.only)->multitoken(), "indexes of the faults to inject; default: all faults of the plan");
    command.options.add_options()("plan", po::bool_switch(&options.planOnly), "print the plan and exit");
    command.options.add_options()("keep", po::bool_switch(&options.keepLogs), "also keep the folders of seeds that kept all promises");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    if (options.minutes <= 0 || options.seeds == 0 || options.clients == 0) {
        std::cerr << "usage: mustardrouter soak " << command.usage << '\n';
        return exit_code::invalidInput;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t failedSeeds = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
        if (options.planOnly) {
            const auto length = std::chrono::duration<double, std::ratio<60>>(options.minutes);
            std::cout << "seed " << seed << '\n' << describe(makePlan(seed, std::chrono::duration_cast<duration>(length)));
            continue;
        }
        failedSeeds += runSeed(options, seed) ? 0 : 1;
    }
    if (!options.planOnly) {
        std::cout << options.seeds << " seeds, " << failedSeeds << " broken\n";
    }
    return failedSeeds == 0 ? exit_code::success : exit_code::failed;
}

} // namespace mustardrouter
