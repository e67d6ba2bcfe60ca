#include "mustardrouter/Edge/edge_instance.h"
#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Runtime/event_log.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

exit_code runEdge(const arguments &given)
{
    command_options command("edge", "[--settings FILE]");
    command.options.add_options()("settings",
                                  po::value<std::string>(),
                                  "the platform's settings file; default: the file named by the platform's environment variable");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const char *fileFromEnvironment = std::getenv(platform::settingsVariable);
    const std::string file = values.contains("settings") ? values["settings"].as<std::string>()
                                                         : std::string(fileFromEnvironment == nullptr ? "" : fileFromEnvironment);
    return handleErrors(
        [&]() -> result_of<exit_code> {
            BOOST_LEAF_AUTO(environment, platform::readSettingsFile(file));
            std::signal(SIGPIPE, SIG_IGN);
            event_log log(environment.instance);
            edge_instance instance(file, environment, log);
            const bool served = instance.run();
            log.close();
            // Skips the log's destructor: it joins the writer thread, which blocks while nobody reads standard output.
            std::_Exit(toInt(served ? exit_code::success : exit_code::failed));
        },
        [](const error &what) {
            std::cerr << "mustardrouter edge: " << toString(what.cause) << ": " << what.detail << '\n';
            return exit_code::invalidInput;
        });
}

} // namespace mustardrouter
