#pragma once

#include <json/value.h>

#include <ostream>

namespace mustardrouter
{

/// Prints the answer of the control method `status` as tables at most 80 characters wide.
void printStatusTable(const Json::Value &status, std::ostream &out);

} // namespace mustardrouter
