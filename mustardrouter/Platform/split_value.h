#pragma once

#include "mustardrouter/Platform/object_api.h"

#include <cstddef>
#include <string>

namespace mustardrouter
{

/// Bytes of one stored value; the platform takes at most a megabyte.
constexpr std::size_t maxValueBytes = 983040;

/// Stores a new value, over several objects where it is long. The object under `key` itself comes
/// last, so that a value that can be read is whole. Storing the same again changes nothing.
failure putSplitValue(const object_api &platform, const std::string &key, const std::string &value);

/// Reads a value that putSplitValue() stored; failure::notFound when it is missing or not whole.
platform_answer<std::string> getSplitValue(const object_api &platform, const std::string &key);

} // namespace mustardrouter
