#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <json/writer.h>

#include <cstdlib>
#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr long controlTimeoutMs = 3000;

void addControlOptions(command_options &command)
{
    command.options.add_options()("control", po::value<std::string>()->required(), "control address of an instance");
    command.options.add_options()("key", po::value<std::string>()->default_value(""), "operator's key; default: $MUSTARDROUTER_KEY");
}

std::string keyOf(const po::variables_map &values)
{
    const std::string given = values["key"].as<std::string>();
    const char *fallback = std::getenv("MUSTARDROUTER_KEY");
    return given.empty() && fallback != nullptr ? std::string(fallback) : given;
}

json_rpc_answer callControl(const po::variables_map &values, const std::string &method, Json::Value parameters)
{
    const char *user = std::getenv("USER");
    parameters["operator"] = user == nullptr ? "operator" : user;
    json_rpc_client client(values["control"].as<std::string>(), keyOf(values));
    return client.call(method, parameters, controlTimeoutMs);
}

exit_code report(const json_rpc_answer &answer, const char *command)
{
    if (answer.status == json_rpc_status::answered) {
        return exit_code::done;
    }
    std::cerr << "mustardrouter " << command << ": " << answer.message << '\n';
    return exit_code::failed;
}

void printStatus(const Json::Value &status)
{
    std::cout << "instance " << status["instance"].asString() << ", revision " << status["revision"].asString()
              << (status["draining"].asBool() ? ", draining" : "") << '\n';
    for (const std::string &group : status["groups"].getMemberNames()) {
        const Json::Value &item = status["groups"][group];
        std::cout << "group " << group << ": " << item["role"].asString() << ", term " << item["term"].asString();
        if (item["role"].asString() != "owner") {
            std::cout << '\n';
            continue;
        }
        std::cout << ", primary " << item["primary"].asString() << (item["serving"].asBool() ? "" : ", NOT SERVING") << ", waiting "
                  << item["waiting"].asString() << '\n';
        for (const Json::Value &database : item["databases"]) {
            std::cout << "    " << database["name"].asString() << ": term " << database["term"].asString() << ", received "
                      << database["received"].asString() << ", applied " << database["applied"].asString() << ", connections "
                      << database["connections"].asString() << '\n';
        }
    }
    for (const std::string &name : status["instances"].getMemberNames()) {
        const Json::Value &item = status["instances"][name];
        std::cout << "instance " << name << " at " << item["address"].asString() << (item["leaving"].asBool() ? ", leaving" : "") << '\n';
    }
}

} // namespace

exit_code runStatus(const arguments &given)
{
    command_options command("status", "--control IP:PORT [--json]");
    addControlOptions(command);
    command.options.add_options()("json", "print the whole state as JSON");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::done : exit_code::usage;
    }
    const json_rpc_answer answer = callControl(values, "status", Json::Value(Json::objectValue));
    if (answer.status == json_rpc_status::answered && values.count("json") > 0) {
        std::cout << Json::writeString(Json::StreamWriterBuilder(), answer.value) << '\n';
    } else if (answer.status == json_rpc_status::answered) {
        printStatus(answer.value);
    }
    return report(answer, "status");
}

exit_code runFailover(const arguments &given)
{
    command_options command("failover", "GROUP --control IP:PORT [--to DATABASE]");
    addControlOptions(command);
    command.options.add_options()("group", po::value<std::string>()->required(), "group whose primary moves");
    command.options.add_options()("to", po::value<std::string>()->default_value(""), "database that becomes primary");
    command.positional.add("group", 1);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::done : exit_code::usage;
    }
    Json::Value parameters(Json::objectValue);
    parameters["group"] = values["group"].as<std::string>();
    parameters["to"] = values["to"].as<std::string>();
    return report(callControl(values, "failover", parameters), "failover");
}

exit_code runDrain(const arguments &given)
{
    command_options command("drain", "--control IP:PORT");
    addControlOptions(command);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::done : exit_code::usage;
    }
    return report(callControl(values, "drain", Json::Value(Json::objectValue)), "drain");
}

} // namespace mustardrouter
