#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/control_call.h"
#include "mustardrouter/Operators/status_table.h"

#include <json/writer.h>

#include <chrono>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

/// Progress of an operation: what is printed of it, and whether it is complete.
struct progress_state {
    std::string text;
    bool complete = false;
};

constexpr auto progressInterval = std::chrono::milliseconds(200);
constexpr auto progressTimeout = std::chrono::seconds(30);
/// How long to look for the owner of a group: a group without a quorum changes its owner within a few seconds.
constexpr auto ownerSearchTimeout = std::chrono::seconds(15);

/// Polls the status, prints each new `stateOf(status)` and returns when one is complete or after progressTimeout.
template<typename StateOf>
exit_code followProgress(const po::variables_map &values, const char *command, const StateOf &stateOf)
{
    const auto deadline = std::chrono::steady_clock::now() + progressTimeout;
    std::string printedText;
    while (std::chrono::steady_clock::now() < deadline) {
        const json_rpc_answer answer = callControl(values, "status", Json::Value(Json::objectValue));
        if (answer.status != json_rpc_status::answered) {
            return reportFailure(answer, command);
        }
        const progress_state state = stateOf(answer.value);
        if (state.text != printedText) {
            std::cout << state.text << std::endl;
            printedText = state.text;
        }
        if (state.complete) {
            return exit_code::success;
        }
        std::this_thread::sleep_for(progressInterval);
    }
    std::cerr << "mustardrouter " << command << ": not complete after " << progressTimeout.count()
              << " s; it continues in the background, see `status`\n";
    return exit_code::failed;
}

progress_state failoverState(const Json::Value &status, const std::string &group, const std::string &to, Json::UInt64 termBefore)
{
    const Json::Value &groupStatus = status["groups"][group];
    const bool serving = groupStatus["serving"].asBool();
    const bool moved = groupStatus["term"].asUInt64() > termBefore && (to.empty() || groupStatus["primary"].asString() == to);
    std::string text = "term " + groupStatus["term"].asString() + ", primary " + groupStatus["primary"].asString() + ", "
                       + groupStatus["phase"].asString();
    return {text, serving && moved};
}

progress_state drainState(const Json::Value &status)
{
    std::size_t owned = 0;
    for (const Json::Value &groupStatus : status["groups"]) {
        owned += groupStatus["role"].asString() == "owner" ? 1U : 0U;
    }
    const auto inFlight = status["inFlight"].asUInt64();
    const std::string text = std::to_string(owned) + " groups owned, " + std::to_string(inFlight) + " requests in flight";
    return {text, status["draining"].asBool() && owned == 0 && inFlight == 0};
}

/// An instance that reports itself as the owner of a group, and its status of that group.
struct group_owner {
    std::string control;
    Json::Value groupStatus;
};

/// Looks for the group's owner among the instances that the options name; `otherOwner` gets the name of one that is not
/// among them, and `problem` why an instance did not answer.
std::optional<group_owner> findOwner(const po::variables_map &values,
                                     const std::string &group,
                                     std::string &otherOwner,
                                     std::string &problem)
{
    for (const std::string &control : values["control"].as<std::vector<std::string>>()) {
        const json_rpc_answer answer = callControlAt(control, values, "status", Json::Value(Json::objectValue));
        if (answer.status != json_rpc_status::answered) {
            problem = answer.message;
            continue;
        }
        const Json::Value &groupStatus = answer.value["groups"][group];
        if (groupStatus["role"].asString() == "owner") {
            return group_owner{control, groupStatus};
        }
        if (!groupStatus["owner"].asString().empty()) {
            otherOwner = groupStatus["owner"].asString();
        }
    }
    return std::nullopt;
}

/// Requests a failover from the group's owner and prints its progress. The request is repeated when another instance
/// becomes the owner before it has completed, because a requested failover does not survive the end of its owner's term.
exit_code orderFailover(const po::variables_map &values, const Json::Value &parameters, bool forced)
{
    const std::string group = parameters["group"].asString();
    const std::string to = parameters["to"].asString();
    const bool hasSeveralInstances = values["control"].as<std::vector<std::string>>().size() > 1;
    const auto startedAt = std::chrono::steady_clock::now();
    std::string acceptedBy;
    std::string printedText;
    Json::UInt64 termBefore = 0;
    while (std::chrono::steady_clock::now() - startedAt < progressTimeout) {
        std::string otherOwner;
        std::string problem;
        const std::optional<group_owner> owner = findOwner(values, group, otherOwner, problem);
        const bool ownerMayAppear = hasSeveralInstances && std::chrono::steady_clock::now() - startedAt < ownerSearchTimeout;
        if (!owner && acceptedBy.empty() && !ownerMayAppear) {
            std::cerr << "mustardrouter failover: "
                      << (otherOwner.empty() && !problem.empty()
                              ? problem
                              : "not_owner: use the control interface of the group's owner, "
                                    + (otherOwner.empty() ? std::string("which is unknown") : otherOwner))
                      << '\n';
            return exit_code::failed;
        }
        if (owner && owner->control != acceptedBy) {
            const json_rpc_answer accepted = callControlAt(owner->control, values, "failover", parameters);
            if (accepted.status != json_rpc_status::answered && !ownerMayAppear) {
                return reportFailure(accepted, "failover");
            }
            if (accepted.status == json_rpc_status::answered) {
                acceptedBy = owner->control;
                // A forced promotion completes the attempt of the current term; any other failover raises the term.
                termBefore = owner->groupStatus["term"].asUInt64() - (forced ? 1 : 0);
            }
        }
        if (owner && owner->control == acceptedBy) {
            Json::Value status;
            status["groups"][group] = owner->groupStatus;
            const progress_state state = failoverState(status, group, to, termBefore);
            if (state.text != printedText) {
                std::cout << state.text << std::endl;
                printedText = state.text;
            }
            if (state.complete) {
                return exit_code::success;
            }
        }
        std::this_thread::sleep_for(progressInterval);
    }
    std::cerr << "mustardrouter failover: not complete after " << progressTimeout.count()
              << " s; it continues in the background, see `status`\n";
    return exit_code::failed;
}

} // namespace

exit_code runStatus(const arguments &given)
{
    command_options command("status", "--control IP:PORT [--json]");
    command.examples = {"status --control 127.0.0.1:6002", "status --control 127.0.0.1:6002 --json"};
    addControlOptions(command);
    command.options.add_options()("json", "print the complete state as JSON");
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const json_rpc_answer answer = callControl(values, "status", Json::Value(Json::objectValue));
    if (answer.status == json_rpc_status::answered && values.count("json") > 0) {
        std::cout << Json::writeString(Json::StreamWriterBuilder(), answer.value) << '\n';
    } else if (answer.status == json_rpc_status::answered) {
        printStatusTable(answer.value, std::cout);
    }
    return reportFailure(answer, "status");
}

exit_code runFailover(const arguments &given)
{
    command_options command("failover", "GROUP --control IP:PORT... [--to DATABASE | --give-up DATABASE...]");
    command.examples = {"failover scripts-1 --control 127.0.0.1:6002 --to scripts-1-kosice"};
    addRepeatableControlOptions(command);
    command.options.add_options()("group", po::value<std::string>()->required(), "group whose primary is changed");
    command.options.add_options()("to", po::value<std::string>()->default_value(""), "database to promote");
    command.options.add_options()(
        "give-up",
        po::value<std::vector<std::string>>()->composing(),
        "promote without a quorum; name every database that is lost for good: acknowledged writes that only these hold are lost");
    command.positional.add("group", 1);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const std::string group = values["group"].as<std::string>();
    const std::string to = values["to"].as<std::string>();
    Json::Value parameters(Json::objectValue);
    parameters["group"] = group;
    parameters["to"] = to;
    const bool forced = values.count("give-up") > 0;
    if (forced) {
        for (const std::string &name : values["give-up"].as<std::vector<std::string>>()) {
            parameters["giveUp"].append(name);
        }
    }
    return orderFailover(values, parameters, forced);
}

exit_code runDrain(const arguments &given)
{
    command_options command("drain", "--control IP:PORT");
    command.examples = {"drain --control 127.0.0.1:6002"};
    addControlOptions(command);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    const json_rpc_answer accepted = callControl(values, "drain", Json::Value(Json::objectValue));
    if (accepted.status != json_rpc_status::answered) {
        return reportFailure(accepted, "drain");
    }
    return followProgress(values, "drain", drainState);
}

} // namespace mustardrouter
