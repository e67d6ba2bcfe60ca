#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/configuration_files.h"
#include "mustardrouter/Operators/configuration_output.h"
#include "mustardrouter/Platform/configuration_store.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr auto platformTimeout = std::chrono::milliseconds(3000);
constexpr auto retryBackoff = std::chrono::milliseconds(100);
constexpr std::size_t defaultHistoryLimit = 20;

exit_code printError(const std::string &command, const error &what)
{
    std::cerr << "mustardrouter " << command << ": " << toString(what.cause) << ": " << what.detail << '\n';
    return what.cause == failure::platformUnavailable ? exit_code::failed : exit_code::invalidInput;
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

publication newPublication(const po::variables_map &values)
{
    publication what;
    const char *user = std::getenv("USER");
    what.id = newPublicationId();
    what.author = user == nullptr ? "operator" : user;
    what.unixMs = unixMilliseconds();
    if (values.count("base") > 0) {
        what.base = revision_number(values["base"].as<std::uint64_t>());
    }
    what.waitBeforeRetry = [](int attempt) {
        std::this_thread::sleep_for(retryBackoff * attempt);
    };
    return what;
}

void addPlatformOption(command_options &command)
{
    command.options.add_options()("platform", po::value<std::string>()->required(), "IP:PORT of the platform's object API");
}

void addRevisionOption(command_options &command, const char *name)
{
    command.options.add_options()(name, po::value<std::uint64_t>()->required(), "revision number");
    command.positional.add(name, 1);
}

/// The value of a platform's answer, or its failure with an error message that names `what` could not be read.
template<typename Value>
result_of<Value> valueOf(platform_answer<Value> answer, const std::string &what)
{
    if (answer.cause != failure::none) {
        const std::string reason = answer.cause == failure::notFound ? " does not exist or is no longer kept" : " cannot be read";
        return fail(answer.cause, what + reason);
    }
    return std::move(answer.value);
}

std::string revisionText(std::uint64_t revision)
{
    return "revision " + std::to_string(revision);
}

/// Parses the arguments, runs `work(values, platform)` and prints its error, if any.
template<typename Work>
exit_code runOnPlatform(const command_options &command, const arguments &given, const Work &work)
{
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    return handleErrors(
        [&]() -> result_of<exit_code> {
            platform_client client(values["platform"].as<std::string>(), platformTimeout);
            return work(values, objectApiOf(client));
        },
        [&](const error &what) {
            return printError(command.name, what);
        });
}

result_of<exit_code> apply(const po::variables_map &values, const object_api &platform)
{
    BOOST_LEAF_AUTO(changes, readConfigurationFiles(values["files"].as<std::string>()));
    if (values.count("dry-run") == 0) {
        return reportPublication(publishChanges(platform, changes, newPublication(values)));
    }
    BOOST_LEAF_AUTO(current, valueOf(loadConfiguration(platform, {}), "the configuration"));
    printDifference(current, applyChanges(current, changes));
    const std::vector<configuration_problem> problems = checkChanges(current, changes);
    printProblems(problems);
    return problems.empty() ? exit_code::success : exit_code::invalidInput;
}

result_of<exit_code> showDifference(const po::variables_map &values, const object_api &platform)
{
    const auto from = values["from"].as<std::uint64_t>();
    const auto to = values["to"].as<std::uint64_t>();
    BOOST_LEAF_AUTO(before, valueOf(loadRevision(platform, revision_number(from)), revisionText(from)));
    BOOST_LEAF_AUTO(after, valueOf(loadRevision(platform, revision_number(to)), revisionText(to)));
    printDifference(before, after);
    return exit_code::success;
}

result_of<exit_code> get(const po::variables_map &values, const object_api &platform)
{
    BOOST_LEAF_AUTO(current, valueOf(loadConfiguration(platform, {}), "the configuration"));
    const std::string wanted = values["object"].as<std::string>();
    if (wanted.empty()) {
        printSnapshot(current);
        return exit_code::success;
    }
    if (!printObject(current, wanted)) {
        return fail(failure::notFound, wanted + " does not exist; give KIND/NAME as in service/scripts");
    }
    return exit_code::success;
}

} // namespace

exit_code runApply(const arguments &given)
{
    command_options command("apply", "--platform IP:PORT -f DIR [--dry-run] [--base REVISION]");
    command.examples = {"apply --platform 10.0.0.5:7000 -f settings/ --dry-run", "apply --platform 10.0.0.5:7000 -f settings/ --base 41"};
    addPlatformOption(command);
    command.options.add_options()("files,f", po::value<std::string>()->required(), "folder whose .json files are read");
    command.options.add_options()("dry-run", "print the differences and validate them without publishing");
    command.options.add_options()(
        "base",
        po::value<std::uint64_t>(),
        "revision that the files are based on; the publication is refused if one of their objects has changed since");
    return runOnPlatform(command, given, apply);
}

exit_code runCheck(const arguments &given)
{
    command_options command("check", "-f DIR");
    command.examples = {"check -f examples/kovacik/configuration"};
    command.options.add_options()("files,f", po::value<std::string>()->required(), "folder whose .json files are read");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    return handleErrors(
        [&]() -> result_of<exit_code> {
            BOOST_LEAF_AUTO(changes, readConfigurationFiles(values["files"].as<std::string>()));
            const std::vector<configuration_problem> problems = checkChanges({}, changes);
            printProblems(problems);
            std::cout << changes.changed.size() << " objects, " << problems.size() << " problems\n";
            return problems.empty() ? exit_code::success : exit_code::invalidInput;
        },
        [](const error &what) {
            return printError("check", what);
        });
}

exit_code runGet(const arguments &given)
{
    command_options command("get", "--platform IP:PORT [KIND/NAME]");
    command.examples = {"get --platform 10.0.0.5:7000", "get --platform 10.0.0.5:7000 service/scripts"};
    addPlatformOption(command);
    command.options.add_options()("object", po::value<std::string>()->default_value(""), "print only this object, as in service/scripts");
    command.positional.add("object", 1);
    return runOnPlatform(command, given, get);
}

exit_code runHistory(const arguments &given)
{
    command_options command("history", "--platform IP:PORT [--limit N]");
    command.examples = {"history --platform 10.0.0.5:7000 --limit 5"};
    addPlatformOption(command);
    command.options.add_options()("limit", po::value<std::size_t>()->default_value(defaultHistoryLimit), "number of revisions to list");
    return runOnPlatform(command, given, [](const po::variables_map &values, const object_api &platform) -> result_of<exit_code> {
        BOOST_LEAF_AUTO(revisions, valueOf(readHistory(platform, values["limit"].as<std::size_t>()), "the history"));
        printHistory(revisions);
        return exit_code::success;
    });
}

exit_code runDiff(const arguments &given)
{
    command_options command("diff", "--platform IP:PORT REVISION REVISION");
    command.examples = {"diff --platform 10.0.0.5:7000 40 42"};
    addPlatformOption(command);
    addRevisionOption(command, "from");
    addRevisionOption(command, "to");
    return runOnPlatform(command, given, showDifference);
}

exit_code runRollback(const arguments &given)
{
    command_options command("rollback", "--platform IP:PORT REVISION");
    command.examples = {"rollback --platform 10.0.0.5:7000 40"};
    addPlatformOption(command);
    addRevisionOption(command, "to");
    return runOnPlatform(command, given, [](const po::variables_map &values, const object_api &platform) -> result_of<exit_code> {
        return reportPublication(rollBack(platform, revision_number(values["to"].as<std::uint64_t>()), newPublication(values)));
    });
}

} // namespace mustardrouter
