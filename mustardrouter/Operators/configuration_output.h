#pragma once

#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Operators/exit_code.h"
#include "mustardrouter/Platform/configuration_store.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// Prints one line for each problem.
void printProblems(const std::vector<configuration_problem> &problems);

/// Prints what leads from one snapshot to the other: objects line by line, with + and -.
void printDifference(const configuration_snapshot &from, const configuration_snapshot &to);

/// Prints all objects as JSON that `apply` takes.
void printSnapshot(const configuration_snapshot &snapshot);

/// Prints one object as JSON; false when "KIND/NAME" names none.
bool printObject(const configuration_snapshot &snapshot, const std::string &name);

/// Prints revisions with their time, author and what they touched.
void printHistory(const std::vector<objects::configuration_revision> &revisions);

/// Tells how a publication ended.
exit_code reportPublication(const publication_result &result);

} // namespace mustardrouter
