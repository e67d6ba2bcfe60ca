#include "mustardrouter/Load/demo.h"
#include "mustardrouter/Operators/commands.h"

#include <iostream>
#include <map>

namespace
{

using namespace mustardrouter;

exit_code runDemoCommand(const arguments &given)
{
    namespace po = boost::program_options;
    demo_settings settings;
    command_options command("demo", "[--seconds N] [--deployment kovacik|granite-notch] [--report FILE]");
    command.options.add_options()("seconds", po::value(&settings.seconds)->default_value(settings.seconds), "duration of the load");
    command.options.add_options()(
        "deployment", po::value(&settings.deployment)->default_value(settings.deployment), "deployment whose sizes are used");
    command.options.add_options()("instances", po::value(&settings.instances)->default_value(settings.instances), "number of instances");
    command.options.add_options()(
        "rate", po::value(&settings.operationsPerSecond)->default_value(settings.operationsPerSecond), "operations per second");
    command.options.add_options()("seed", po::value(&settings.seed)->default_value(settings.seed), "seed of the load");
    command.options.add_options()("report", po::value(&settings.reportFile), "file for the JSON report");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    return static_cast<exit_code>(runDemo(settings));
}

struct command {
    exit_code (*run)(const arguments &);
    const char *summary;
};

const std::map<std::string, command> &commands()
{
    static const std::map<std::string, command> all{
        {"serve", {runServe, "run an instance as a daemon"}},
        {"edge", {runEdge, "run an instance on the users' platform"}},
        {"demo", {runDemoCommand, "run a deployment on loopback and kill a primary under load"}},
        {"load", {runLoad, "measure a deployment on loopback under a load profile"}},
        {"call", {runCall, "send one statement to an entry and print its result"}},
        {"apply", {runApply, "publish configuration files"}},
        {"check", {runCheck, "validate configuration files offline"}},
        {"get", {runGet, "show the published configuration"}},
        {"history", {runHistory, "list the newest revisions of the configuration"}},
        {"diff", {runDiff, "show the differences between two revisions"}},
        {"rollback", {runRollback, "publish the objects of an earlier revision as a new revision"}},
        {"status", {runStatus, "show the state of an instance"}},
        {"trace", {runTrace, "show traces of live requests"}},
        {"failover", {runFailover, "promote another primary of a group"}},
        {"drain", {runDrain, "hand over an instance's groups and wait for its requests"}},
        {"soak", {runSoak, "run instances under random faults and check their promises"}},
        {"explain", {runExplain, "show the timeline of a request from logs, or why statements were refused"}},
        {"standin", {runStandIn, "run a stand-in of the platform or a database"}},
    };
    return all;
}

void printUsage(std::ostream &out)
{
    out << "usage: mustardrouter COMMAND [options]\n\n";
    for (const auto &[name, item] : commands()) {
        out << "  " << name << std::string(12 - name.size(), ' ') << item.summary << '\n';
    }
    out << "\nEach command has --help. Exit codes: 0 done, 1 failed, 2 bad usage or settings.\n";
}

} // namespace

int main(int argc, char **argv)
{
    const arguments given(argv + 1, argv + argc);
    if (given.empty() || given.front() == "--help" || given.front() == "-h") {
        printUsage(given.empty() ? std::cerr : std::cout);
        return toInt(given.empty() ? exit_code::invalidInput : exit_code::success);
    }
    const auto found = commands().find(given.front());
    if (found == commands().end()) {
        std::cerr << "mustardrouter: unknown command \"" << given.front() << "\"\n";
        printUsage(std::cerr);
        return toInt(exit_code::invalidInput);
    }
    return toInt(found->second.run(arguments(given.begin() + 1, given.end())));
}
