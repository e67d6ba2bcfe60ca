#pragma once

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace mustardrouter
{

/// Arguments after the name of a subcommand.
using arguments = std::vector<std::string>;

/// Options and help text of one subcommand.
struct command_options {
    command_options(std::string commandName, std::string commandUsage);

    std::string name;
    /// Usage line without the name of the program and the subcommand.
    std::string usage;
    /// Example command lines printed below the options, without the name of the program.
    std::vector<std::string> examples;
    boost::program_options::options_description options;
    boost::program_options::positional_options_description positional;
};

/// Result of parsing; after `helpShown` and `refused` the command does not run.
enum class parse_status { parsed, helpShown, refused };

/// Parses arguments and sets the log level. Prints the help for --help, and an error message for invalid arguments.
parse_status parse(const command_options &command, const arguments &given, boost::program_options::variables_map &values);

} // namespace mustardrouter
