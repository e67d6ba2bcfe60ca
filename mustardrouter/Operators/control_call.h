#pragma once

#include "mustardrouter/Operators/command_line.h"
#include "mustardrouter/Operators/exit_code.h"
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <string>

namespace mustardrouter
{

/// Adds the options that every command to an instance's control interface has.
void addControlOptions(command_options &command);
/// The same for a command that finds its instance among several.
void addControlsOptions(command_options &command);

/// Calls a method of the control interface that the options name.
json_rpc_answer callControl(const boost::program_options::variables_map &values, const std::string &method, Json::Value parameters);

/// Calls a method of the control interface at an address.
json_rpc_answer callControlAt(const std::string &address,
                              const boost::program_options::variables_map &values,
                              const std::string &method,
                              Json::Value parameters);

/// Prints why a call failed, if it did; the command's exit code.
exit_code report(const json_rpc_answer &answer, const char *command);

} // namespace mustardrouter
