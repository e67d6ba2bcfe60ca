#pragma once

#include <json/value.h>

#include <optional>

namespace mustardrouter
{

/// What turns one JSON value into another, as JSON: {"set": value}, or for objects {"members": {name: difference}, "removed": [names]}, or
/// for arrays {"parts": [[first, count] or {"new": [values]}, ...]}, where a pair names elements of the array before.
///
/// Small where a few members or elements differ; where arrays are reordered it may be larger than the value itself.
Json::Value differenceOf(const Json::Value &before, const Json::Value &after);

/// Nothing if the difference is malformed or doesn't fit the value.
std::optional<Json::Value> applyDifference(const Json::Value &before, const Json::Value &difference);

} // namespace mustardrouter
