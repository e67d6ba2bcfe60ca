#include "mustardrouter/Platform/split_value.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

namespace mustardrouter
{

namespace
{

/// Prefix of the object under the key of a split value; a JSON object never starts with it.
constexpr std::string_view splitPrefix = "parts ";

std::string partKey(const std::string &key, std::size_t part)
{
    return key + "/part/" + std::to_string(part);
}

bool isUtf8Continuation(char byte)
{
    constexpr unsigned topBits = 0xc0U;
    constexpr unsigned continuation = 0x80U;
    return (static_cast<unsigned char>(byte) & topBits) == continuation;
}

/// Splits at character boundaries, since each part must be valid UTF-8 by itself.
std::vector<std::string_view> split(std::string_view value)
{
    std::vector<std::string_view> parts;
    while (value.size() > maxValueBytes) {
        std::size_t end = maxValueBytes;
        while (end > 1 && isUtf8Continuation(value[end])) {
            --end;
        }
        parts.push_back(value.substr(0, end));
        value.remove_prefix(end);
    }
    parts.push_back(value);
    return parts;
}

/// A value that is not split has no part count.
std::optional<std::size_t> parsePartCount(std::string_view text)
{
    std::size_t parts = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), parts);
    const bool valid = problem == std::errc() && end == text.data() + text.size() && parts > 1;
    return valid ? std::optional(parts) : std::nullopt;
}

failure putObject(const object_api &platform, const std::string &key, std::string_view value)
{
    const failure cause = platform.put({key, std::string(value), 0}).cause;
    // The key contains the publication ID, so an existing object already holds this value.
    return cause == failure::versionConflict ? failure::none : cause;
}

} // namespace

failure putSplitValue(const object_api &platform, const std::string &key, const std::string &value)
{
    const std::vector<std::string_view> parts = split(value);
    if (parts.size() == 1) {
        return putObject(platform, key, value);
    }
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const failure cause = putObject(platform, partKey(key, part), parts[part]);
        if (cause != failure::none) {
            return cause;
        }
    }
    return putObject(platform, key, std::string(splitPrefix) + std::to_string(parts.size()));
}

platform_answer<std::string> getSplitValue(const object_api &platform, const std::string &key)
{
    const auto first = platform.get(key);
    if (first.cause != failure::none) {
        return {first.cause, {}};
    }
    if (first.value.version == 0) {
        return {failure::notFound, {}};
    }
    const std::string &text = first.value.value;
    if (!text.starts_with(splitPrefix)) {
        return {failure::none, text};
    }
    const std::optional<std::size_t> parts = parsePartCount(std::string_view(text).substr(splitPrefix.size()));
    if (!parts) {
        return {failure::invalidConfiguration, {}};
    }
    std::string whole;
    for (std::size_t part = 0; part < *parts; ++part) {
        const auto read = platform.get(partKey(key, part));
        if (read.cause != failure::none || read.value.version == 0) {
            return {read.cause == failure::none ? failure::notFound : read.cause, {}};
        }
        whole += read.value.value;
    }
    return {failure::none, whole};
}

} // namespace mustardrouter
