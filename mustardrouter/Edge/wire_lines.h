#pragma once

#include <optional>
#include <string_view>

namespace mustardrouter
{

/// Removes the first line from the text and returns it without its CR LF; nothing if no line is complete. A bare line feed or carriage
/// return is part of a line.
inline std::optional<std::string_view> takeLine(std::string_view &text)
{
    constexpr std::string_view terminator = "\r\n";
    const std::size_t end = text.find(terminator);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + terminator.size());
    return line;
}

} // namespace mustardrouter
