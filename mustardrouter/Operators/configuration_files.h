#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Runtime/error.h"

#include <string>

namespace mustardrouter
{

/// Reads every .json file of a folder as a list of objects ({"changed": [...], "removed": [...]});
/// failure::invalidSettings names the file and what is wrong in it.
result_of<change_set> readConfigurationFiles(const std::string &folder);

} // namespace mustardrouter
