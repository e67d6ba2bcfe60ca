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

std::string localTimeText(std::uint64_t nanos)
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

void printRootSpan(const Json::Value &root)
{
    const Json::Value &attributes = root["attributes"];
    std::printf("%s %s %s %.1f ms",
                localTimeText(root["startNanos"].asUInt64()).c_str(),
                attributes["service"].asCString(),
                attributes["outcome"].asCString(),
                millisOf(root));
    if (attributes["failure"].asString() != "none") {
        std::printf(": %s %s", attributes["failure"].asCString(), attributes["detail"].asCString());
    }
    std::printf("\n  trace %s\n", root["traceId"].asCString());
    std::printf("  group %s at %s, attempts %s\n",
                attributes["group"].asCString(),
                attributes["owner"].asCString(),
                attributes["attempts"].asCString());
}

void printSpan(const Json::Value &span, bool last)
{
    std::printf("  %s %8.2f ms  %s", last ? "`-" : "|-", millisOf(span), span["name"].asCString());
    const Json::Value &attributes = span["attributes"];
    if (attributes.isMember("reason") && !attributes["reason"].asString().empty()) {
        std::printf(" %s: %s", attributes["database"].asCString(), attributes["reason"].asCString());
    }
    std::printf("\n");
}

void printTrace(const Json::Value &spans)
{
    printRootSpan(spans[0]);
    for (Json::ArrayIndex index = 1; index < spans.size(); ++index) {
        printSpan(spans[index], index + 1 == spans.size());
    }
    std::fflush(stdout);
}

} // namespace

exit_code runTrace(const arguments &given)
{
    command_options command("trace", "--control IP:PORT [--follow] [--service NAME] [--outcome done|not_run|unknown]");
    addControlOptions(command);
    command.options.add_options()("follow", "keep printing new traces until interrupted");
    command.options.add_options()("service", po::value<std::string>()->default_value(""), "only requests of this service");
    command.options.add_options()("outcome", po::value<std::string>()->default_value(""), "only requests with this outcome");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    Json::Value parameters(Json::objectValue);
    parameters["service"] = values["service"].as<std::string>();
    parameters["outcome"] = values["outcome"].as<std::string>();
    parameters["from"] = Json::UInt64(0);
    while (true) {
        const json_rpc_answer answer = callControl(values, "traces", parameters);
        if (answer.status != json_rpc_status::answered) {
            return reportFailure(answer, "trace");
        }
        const bool first = parameters["from"].asUInt64() == 0;
        if (!first && answer.value["missed"].asUInt64() > 0) {
            std::cout << answer.value["missed"].asUInt64() << " traces were missed\n";
        }
        for (const Json::Value &trace : answer.value["traces"]) {
            printTrace(trace);
        }
        if (values.count("follow") == 0) {
            return exit_code::success;
        }
        parameters["from"] = answer.value["next"];
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace mustardrouter
