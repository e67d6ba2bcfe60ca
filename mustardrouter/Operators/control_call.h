#pragma once

#include "mustardrouter/Operators/command_line.h"
#include "mustardrouter/Operators/exit_code.h"
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <string>

namespace mustardrouter
{

/// Adds the options of a command that calls one instance's control interface: --control and --key.
void addControlOptions(command_options &command);
/// Like addControlOptions(), but --control may be repeated, for commands that search several instances for the right one.
void addRepeatableControlOptions(command_options &command);

/// Calls a method of the control interface given by --control.
json_rpc_answer callControl(const boost::program_options::variables_map &values, const std::string &method, Json::Value parameters);

/// Calls a method of the control interface at an address; `values` supplies the operator key (--key).
json_rpc_answer callControlAt(const std::string &address,
                              const boost::program_options::variables_map &values,
                              const std::string &method,
                              Json::Value parameters);

/// Prints the error to stderr if the call failed; returns the command's exit code.
exit_code reportFailure(const json_rpc_answer &answer, const char *command);

} // namespace mustardrouter
