#include "mustardrouter/Operators/command_line.h"

#include "mustardrouter/Runtime/log.h"

#include <cstdio>
#include <iostream>

namespace mustardrouter
{

namespace po = boost::program_options;

command_options::command_options(std::string commandName, std::string commandUsage)
    : name(std::move(commandName))
    , usage(std::move(commandUsage))
    , options("Options")
{
    options.add_options()("help,h", "show this help");
    options.add_options()(
        "log-level", po::value<std::string>()->default_value("warning"), "lowest level that is logged: debug, info, warning or error");
}

parse_status parse(const command_options &command, const arguments &given, po::variables_map &values)
{
    try {
        po::store(po::command_line_parser(given).options(command.options).positional(command.positional).run(), values);
        if (values.count("help") > 0) {
            std::cout << "usage: mustardrouter " << command.name << ' ' << command.usage << "\n\n" << command.options;
            for (const std::string &example : command.examples) {
                std::cout << (&example == &command.examples.front() ? "\nExamples:\n" : "") << "  mustardrouter " << example << '\n';
            }
            return parse_status::helpShown;
        }
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << "mustardrouter " << command.name << ": " << problem.what() << '\n';
        return parse_status::refused;
    }
    const std::string level = values["log-level"].as<std::string>();
    if (!setLogLevel(level)) {
        std::cerr << "mustardrouter " << command.name << ": --log-level: \"" << level << "\" is not a log level\n";
        return parse_status::refused;
    }
    return parse_status::parsed;
}

} // namespace mustardrouter
