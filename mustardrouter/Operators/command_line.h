#pragma once

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace mustardrouter
{

/// Arguments after the name of a subcommand.
using arguments = std::vector<std::string>;

/// Options of one subcommand, with its help.
struct command_options {
    command_options(std::string commandName, std::string commandUsage);

    std::string name;
    /// First line of the help.
    std::string usage;
    /// Shown below the options, each without the program's name.
    std::vector<std::string> examples;
    boost::program_options::options_description options;
    boost::program_options::positional_options_description positional;
};

/// How parsing ended.
enum class parse_status { parsed, helpShown, refused };

/// Parses arguments; prints the help for --help, and the reason when they are refused.
parse_status parse(const command_options &command, const arguments &given, boost::program_options::variables_map &values);

} // namespace mustardrouter
