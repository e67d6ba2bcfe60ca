#pragma once

#include <json/value.h>

#include <ostream>

namespace mustardrouter
{

/// Prints the state of an instance as tables of at most 80 columns.
void printStatusTable(const Json::Value &status, std::ostream &out);

} // namespace mustardrouter
