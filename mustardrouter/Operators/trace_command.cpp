#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/control_call.h"

#include <json/value.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

constexpr auto pollInterval = std::chrono::milliseconds(300);

double millisOf(const Json::Value &span)
{
    constexpr double nanosPerMilli = 1e6;
    return static_cast<double>(span["endNanos"].asUInt64() - span["startNanos"].asUInt64()) / nanosPerMilli;
}

std::string clockText(std::uint64_t nanos)
{
    constexpr std::uint64_t nanosPerSecond = 1000000000;
    constexpr std::uint64_t nanosPerMilli = 1000000;
    const auto seconds = static_cast<std::time_t>(nanos / nanosPerSecond);
    std::tm parts{};
    localtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03u", static_cast<unsigned>(nanos % nanosPerSecond / nanosPerMilli));
    return text;
}

void printRoot(const Json::Value &root)
{
    const Json::Value &what = root["attributes"];
    std::printf("%s %s %s %.1f ms",
                clockText(root["startNanos"].asUInt64()).c_str(),
                what["service"].asCString(),
                what["outcome"].asCString(),
                millisOf(root));
    if (what["failure"].asString() != "none") {
        std::printf(": %s %s", what["failure"].asCString(), what["detail"].asCString());
    }
    std::printf("\n  trace %s\n", root["traceId"].asCString());
    std::printf("  group %s at %s, attempts %s\n", what["group"].asCString(), what["owner"].asCString(), what["attempts"].asCString());
}

void printHop(const Json::Value &hop, bool last)
{
    std::printf("  %s %8.2f ms  %s", last ? "`-" : "|-", millisOf(hop), hop["name"].asCString());
    const Json::Value &what = hop["attributes"];
    if (what.isMember("reason") && !what["reason"].asString().empty()) {
        std::printf(" %s: %s", what["database"].asCString(), what["reason"].asCString());
    }
    std::printf("\n");
}

void printTrace(const Json::Value &spans)
{
    printRoot(spans[0]);
    for (Json::ArrayIndex index = 1; index < spans.size(); ++index) {
        printHop(spans[index], index + 1 == spans.size());
    }
    std::fflush(stdout);
}

} // namespace

exit_code runTrace(const arguments &given)
{
    command_options command("trace", "--control IP:PORT [--follow] [--service NAME] [--outcome done|not_run|unknown]");
    addControlOptions(command);
    command.options.add_options()("follow", "go on until interrupted");
    command.options.add_options()("service", po::value<std::string>()->default_value(""), "requests of this service only");
    command.options.add_options()("outcome", po::value<std::string>()->default_value(""), "requests that ended like this only");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::done : exit_code::usage;
    }
    Json::Value parameters(Json::objectValue);
    parameters["service"] = values["service"].as<std::string>();
    parameters["outcome"] = values["outcome"].as<std::string>();
    parameters["from"] = Json::UInt64(0);
    while (true) {
        const json_rpc_answer answer = callControl(values, "traces", parameters);
        if (answer.status != json_rpc_status::answered) {
            return report(answer, "trace");
        }
        const bool first = parameters["from"].asUInt64() == 0;
        if (!first && answer.value["missed"].asUInt64() > 0) {
            std::cout << answer.value["missed"].asUInt64() << " traces went by unseen\n";
        }
        for (const Json::Value &trace : answer.value["traces"]) {
            printTrace(trace);
        }
        if (values.count("follow") == 0) {
            return exit_code::done;
        }
        parameters["from"] = answer.value["next"];
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace mustardrouter
