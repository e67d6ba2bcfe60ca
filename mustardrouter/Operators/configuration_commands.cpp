#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/configuration_files.h"
#include "mustardrouter/Platform/configuration_store.h"
#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <cstdlib>
#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr auto platformTimeout = std::chrono::milliseconds(3000);

exit_code codeFor(parse_status status)
{
    return status == parse_status::helpShown ? exit_code::done : exit_code::usage;
}

void printProblems(const std::vector<configuration_problem> &problems)
{
    for (const configuration_problem &problem : problems) {
        std::cerr << problem.object << ": " << problem.field << ": " << toString(problem.kind) << ": " << problem.detail << '\n';
    }
}

exit_code printError(const char *command, const error &what)
{
    std::cerr << "mustardrouter " << command << ": " << toString(what.why) << ": " << what.detail << '\n';
    return what.why == failure::platformUnavailable ? exit_code::failed : exit_code::usage;
}

std::string operatorName()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

result_of<exit_code> apply(const po::variables_map &values)
{
    BOOST_LEAF_AUTO(changes, readConfigurationFiles(values["files"].as<std::string>()));
    platform_client platform(values["platform"].as<std::string>(), platformTimeout);
    if (values.count("dry-run") > 0) {
        const auto current = loadConfiguration(platform, {});
        if (current.why != failure::none) {
            return fail(current.why, "the present configuration cannot be read");
        }
        const configuration_snapshot next = applyChanges(current.value, changes);
        const change_set difference = differenceOf(current.value, next);
        for (const configuration_object &object : difference.changed) {
            std::cout << "change " << referenceOf(object).kind << '/' << referenceOf(object).name << '\n';
        }
        for (const object_reference &gone : difference.removed) {
            std::cout << "remove " << gone.kind << '/' << gone.name << '\n';
        }
        const std::vector<configuration_problem> problems = checkSnapshot(next);
        printProblems(problems);
        return problems.empty() ? exit_code::done : exit_code::usage;
    }
    const publication_result published = publishChanges(platform, changes, operatorName());
    if (published.why == failure::invalidConfiguration) {
        printProblems(published.problems);
        return exit_code::usage;
    }
    if (published.why != failure::none) {
        return fail(published.why, published.detail);
    }
    std::cout << "published revision " << published.revision.value() << '\n';
    return exit_code::done;
}

} // namespace

exit_code runApply(const arguments &given)
{
    command_options command("apply", "--platform IP:PORT -f DIR [--dry-run]");
    command.options.add_options()("platform", po::value<std::string>()->required(), "address of the platform's object API");
    command.options.add_options()("files,f", po::value<std::string>()->required(), "folder of JSON files");
    command.options.add_options()("dry-run", "show the difference and check it, publish nothing");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return codeFor(status);
    }
    return handled(
        [&] {
            return apply(values);
        },
        [](const error &what) {
            return printError("apply", what);
        });
}

exit_code runCheck(const arguments &given)
{
    command_options command("check", "-f DIR");
    command.options.add_options()("files,f", po::value<std::string>()->required(), "folder of JSON files");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return codeFor(status);
    }
    return handled(
        [&]() -> result_of<exit_code> {
            BOOST_LEAF_AUTO(changes, readConfigurationFiles(values["files"].as<std::string>()));
            const std::vector<configuration_problem> problems = checkSnapshot(applyChanges({}, changes));
            printProblems(problems);
            std::cout << changes.changed.size() << " objects, " << problems.size() << " problems\n";
            return problems.empty() ? exit_code::done : exit_code::usage;
        },
        [](const error &what) {
            return printError("check", what);
        });
}

exit_code runGet(const arguments &given)
{
    command_options command("get", "--platform IP:PORT");
    command.options.add_options()("platform", po::value<std::string>()->required(), "address of the platform's object API");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return codeFor(status);
    }
    return handled(
        [&]() -> result_of<exit_code> {
            platform_client platform(values["platform"].as<std::string>(), platformTimeout);
            const auto current = loadConfiguration(platform, {});
            if (current.why != failure::none) {
                return fail(current.why, "the configuration cannot be read");
            }
            objects::configuration_revision shown;
            shown.set_revision(current.value.revision.value());
            toSchema(differenceOf({}, current.value), shown);
            std::cout << writeJson(shown, true) << '\n';
            return exit_code::done;
        },
        [](const error &what) {
            return printError("get", what);
        });
}

} // namespace mustardrouter
