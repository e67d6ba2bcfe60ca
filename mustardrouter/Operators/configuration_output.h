#pragma once

#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Operators/exit_code.h"
#include "mustardrouter/Platform/configuration_store.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// Prints one line for each problem to standard error.
void printProblems(const std::vector<configuration_problem> &problems);

/// Prints the objects that differ between two snapshots as a line diff (+ and -) of their JSON.
void printDifference(const configuration_snapshot &from, const configuration_snapshot &to);

/// Prints all objects as JSON in the format that `apply` reads.
void printSnapshot(const configuration_snapshot &snapshot);

/// Prints the object with the name "KIND/NAME" as JSON; false when there is none.
bool printObject(const configuration_snapshot &snapshot, const std::string &name);

/// Prints a table of revisions with their time, author and changed objects.
void printHistory(const std::vector<objects::configuration_revision> &revisions);

/// Prints the result of a publication and returns the command's exit code.
exit_code reportPublication(const publication_result &result);

} // namespace mustardrouter
