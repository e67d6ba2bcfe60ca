#include "mustardrouter/Operators/commands.h"
#include "mustardrouter/Operators/log_timeline.h"
#include "mustardrouter/Workspaces/key_digest.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace mustardrouter
{

namespace po = boost::program_options;

exit_code runExplain(const arguments &given)
{
    command_options command("explain", "ID FILE... | --why-refused FILE... | --key FILE...");
    command.examples = {
        "explain 3d394d277d59bee1 edge-1.log edge-2.log", "explain --why-refused edge-*.log", "explain --key edge-*.log <key.txt"};
    command.options.add_options()("why-refused", "print a table of refused statements by second and cause");
    command.options.add_options()("key", "print the lines about the key that the standard input holds; logs have its digest only");
    command.options.add_options()("words",
                                  po::value<std::vector<std::string>>()->composing(),
                                  "ID of a request, group, database, instance or workspace (not with --why-refused or --key), "
                                  "followed by log files");
    command.positional.add("words", -1);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    std::vector<std::string> files = values.contains("words") ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    const bool asTable = values.contains("why-refused");
    const bool byKey = values.contains("key");
    std::string subject;
    if (byKey) {
        // Not a word of the command, which others on the machine could read.
        std::getline(std::cin, subject);
        subject = toText(digestOf(api_key(subject)));
    } else if (!asTable && !files.empty()) {
        subject = files.front();
        files.erase(files.begin());
    }
    if (files.empty() || (byKey && asTable)) {
        std::cerr << "usage: mustardrouter explain " << command.usage << '\n';
        return exit_code::invalidInput;
    }
    std::vector<log_line> lines;
    std::size_t skipped = 0;
    for (const std::string &name : files) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "mustardrouter explain: " << name << ": cannot be read\n";
            return exit_code::invalidInput;
        }
        std::vector<log_line> fileLines = readLog(file, skipped);
        std::move(fileLines.begin(), fileLines.end(), std::back_inserter(lines));
    }
    sortByTime(lines);
    if (skipped > 0) {
        std::cerr << "mustardrouter explain: " << skipped << " lines skipped that are not log lines\n";
    }
    if (asTable) {
        std::cout << refusalTable(lines);
        return exit_code::success;
    }
    const std::vector<log_line> timeline = timelineOf(lines, subject);
    if (timeline.empty()) {
        std::cerr << "mustardrouter explain: the logs do not name " << subject
                  << "; statements that are served at once or refused by the limit of their workspace are not logged one by one (for "
                     "the latter see limit_reached of the workspace), and lines beyond an instance's log budget are dropped\n";
        return exit_code::failed;
    }
    std::cout << toText(timeline);
    return exit_code::success;
}

} // namespace mustardrouter
