#include "mustardrouter/Instance/instance.h"
#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/stop_signal.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr auto shutdownTimeout = std::chrono::seconds(15);

result_of<void> checkSettings(const objects::instance_settings &settings, const std::string &file)
{
    const auto require = [&](const std::string &value, const char *field) -> result_of<void> {
        if (value.empty()) {
            return fail(failure::invalidSettings, file + ": " + field + ": is missing");
        }
        return {};
    };
    BOOST_LEAF_CHECK(require(settings.name(), "name"));
    BOOST_LEAF_CHECK(require(settings.caller_address(), "callerAddress"));
    BOOST_LEAF_CHECK(require(settings.peer_address(), "peerAddress"));
    BOOST_LEAF_CHECK(require(settings.platform_address(), "platformAddress"));
    BOOST_LEAF_CHECK(require(settings.token_key(), "tokenKey"));
    if (!settings.control_address().empty()) {
        BOOST_LEAF_CHECK(require(settings.operator_key(), "operatorKey"));
    }
    if (settings.trace_sample() < 0 || settings.trace_sample() > 1) {
        return fail(failure::invalidSettings, file + ": traceSample: must be between 0 and 1");
    }
    return {};
}

} // namespace

exit_code runServe(const arguments &given)
{
    command_options command("serve", "--settings FILE");
    command.options.add_options()("settings", po::value<std::string>()->required(), "JSON file with the settings of the instance");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const std::string file = values["settings"].as<std::string>();
    return handleErrors(
        [&]() -> result_of<exit_code> {
            objects::instance_settings settings;
            BOOST_LEAF_CHECK(readJsonFile(file, settings));
            BOOST_LEAF_CHECK(checkSettings(settings, file));
            blockStopSignals();
            instance daemon(settings);
            BOOST_LEAF_CHECK(daemon.start());
            std::cout << "instance " << daemon.name() << " callers " << daemon.callerAddress() << " control " << daemon.controlAddress()
                      << std::endl;
            waitForStopSignal();
            return daemon.shutDown(shutdownTimeout) ? exit_code::success : exit_code::failed;
        },
        [](const error &what) {
            std::cerr << "mustardrouter serve: " << toString(what.cause) << ": " << what.detail << '\n';
            return what.cause == failure::invalidSettings || what.cause == failure::ioError ? exit_code::invalidInput : exit_code::failed;
        });
}

} // namespace mustardrouter
