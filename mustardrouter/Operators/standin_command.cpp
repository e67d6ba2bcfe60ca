#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/stop_signal.h"
#include "mustardrouter/Runtime/json_settings.h"
#include "mustardrouter/StandIn/database_standin.h"
#include "mustardrouter/StandIn/platform_standin.h"

#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

result_of<exit_code> runPlatform(const std::string &file)
{
    objects::platform_settings settings;
    BOOST_LEAF_CHECK(readJsonFile(file, settings));
    platform_standin platform(settings.address(), std::chrono::milliseconds(settings.list_lag_ms()));
    platform_faults faults;
    faults.delay = std::chrono::milliseconds(settings.delay_ms());
    platform.setFaults(faults);
    if (!platform.start()) {
        return fail(failure::addressUnavailable, settings.address());
    }
    std::cout << "platform stand-in at " << platform.address() << std::endl;
    waitForStopSignal();
    return exit_code::success;
}

result_of<exit_code> runDatabase(const std::string &file)
{
    objects::database_settings settings;
    BOOST_LEAF_CHECK(readJsonFile(file, settings));
    if (settings.slots() == 0 || settings.connections() == 0) {
        return fail(failure::invalidSettings, file + ": slots and connections must be at least 1");
    }
    database_standin database(settings);
    if (!database.start()) {
        return fail(failure::addressUnavailable, settings.address());
    }
    std::cout << "database stand-in " << database.name() << " at " << database.address() << std::endl;
    waitForStopSignal();
    return exit_code::success;
}

} // namespace

exit_code runStandIn(const arguments &given)
{
    command_options command("standin", "platform|database --settings FILE");
    command.options.add_options()("settings", po::value<std::string>()->required(), "JSON file with the settings of the stand-in");
    command.options.add_options()("kind", po::value<std::string>()->required(), "platform or database");
    command.positional.add("kind", 1);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const std::string kind = values["kind"].as<std::string>();
    const std::string file = values["settings"].as<std::string>();
    if (kind != "platform" && kind != "database") {
        std::cerr << "mustardrouter standin: \"" << kind << "\" is neither platform nor database\n";
        return exit_code::invalidInput;
    }
    blockStopSignals();
    return handleErrors(
        [&]() -> result_of<exit_code> {
            return kind == "platform" ? runPlatform(file) : runDatabase(file);
        },
        [](const error &what) {
            std::cerr << "mustardrouter standin: " << toString(what.cause) << ": " << what.detail << '\n';
            return exit_code::invalidInput;
        });
}

} // namespace mustardrouter
