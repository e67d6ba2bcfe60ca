#pragma once

#include "mustardrouter/Operators/command_line.h"
#include "mustardrouter/Operators/exit_code.h"
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <string>

namespace mustardrouter
{

/// Adds the options of a command that calls one instance's control interface: --control and --key.
void addControlOptions(command_options &command);
/// The same for a command that searches several instances for the right one; --control may be repeated.
void addRepeatableControlOptions(command_options &command);

/// Calls a method of the control interface given by --control.
json_rpc_answer callControl(const boost::program_options::variables_map &values, const std::string &method, Json::Value parameters);

/// Calls a method of the control interface at an address.
json_rpc_answer callControlAt(const std::string &address,
                              const boost::program_options::variables_map &values,
                              const std::string &method,
                              Json::Value parameters);

/// Prints the error of a failed call; returns the command's exit code.
exit_code reportFailure(const json_rpc_answer &answer, const char *command);

} // namespace mustardrouter
