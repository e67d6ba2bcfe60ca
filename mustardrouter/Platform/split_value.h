#pragma once

#include "mustardrouter/Platform/object_api.h"

#include <cstddef>
#include <string>

namespace mustardrouter
{

/// Maximum size of one stored value; the platform accepts at most one megabyte.
constexpr std::size_t maxValueBytes = 983040;

/// Stores a new value, split over several objects if it is too long for one. The object under `key`
/// itself is written last, so that a readable value is complete. Storing the same value again has no
/// effect.
failure putSplitValue(const object_api &platform, const std::string &key, const std::string &value);

/// Reads a value that putSplitValue() stored; failure::notFound when it is missing or incomplete,
/// failure::invalidConfiguration when the number of its parts can't be read.
platform_answer<std::string> getSplitValue(const object_api &platform, const std::string &key);

} // namespace mustardrouter
