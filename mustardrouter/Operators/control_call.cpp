#include "mustardrouter/Operators/control_call.h"

#include <cstdlib>
#include <iostream>
#include <utility>
#include <vector>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr long controlTimeoutMs = 3000;

std::string keyOf(const po::variables_map &values)
{
    const std::string given = values["key"].as<std::string>();
    const char *fallback = std::getenv("MUSTARDROUTER_KEY");
    return given.empty() && fallback != nullptr ? std::string(fallback) : given;
}

void addKeyOption(command_options &command)
{
    command.options.add_options()("key", po::value<std::string>()->default_value(""), "operator key; default: $MUSTARDROUTER_KEY");
}

} // namespace

void addControlOptions(command_options &command)
{
    command.options.add_options()("control", po::value<std::string>()->required(), "IP:PORT of an instance's control interface");
    addKeyOption(command);
}

void addRepeatableControlOptions(command_options &command)
{
    command.options.add_options()("control",
                                  po::value<std::vector<std::string>>()->composing()->required(),
                                  "IP:PORT of an instance's control interface; repeat for several instances");
    addKeyOption(command);
}

json_rpc_answer callControl(const po::variables_map &values, const std::string &method, Json::Value parameters)
{
    return callControlAt(values["control"].as<std::string>(), values, method, std::move(parameters));
}

json_rpc_answer callControlAt(const std::string &address,
                              const po::variables_map &values,
                              const std::string &method,
                              Json::Value parameters)
{
    const char *user = std::getenv("USER");
    parameters["operator"] = user == nullptr ? "operator" : user;
    json_rpc_client client(address, keyOf(values));
    return client.call(method, parameters, controlTimeoutMs);
}

exit_code reportFailure(const json_rpc_answer &answer, const char *command)
{
    if (answer.status == json_rpc_status::answered) {
        return exit_code::success;
    }
    std::cerr << "mustardrouter " << command << ": " << answer.message << '\n';
    return exit_code::failed;
}

} // namespace mustardrouter
