#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace mustardrouter
{

/// Parses text that comes from elsewhere. Nothing if it is not a JSON object, also if it is nested more deeply than the reader accepts;
/// then `problems`, if given, says why.
std::optional<Json::Value> parseJsonObject(std::string_view text, std::string *problems = nullptr);

} // namespace mustardrouter
