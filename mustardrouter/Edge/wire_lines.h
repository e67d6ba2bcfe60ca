#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace mustardrouter
{

/// Removes the first line from the text and returns it without its CR LF; nothing if no line is complete. A bare line feed or carriage
/// return is part of a line. No terminator begins in the first `searched` bytes; the call updates it for the text that is left, so that
/// a line that arrives in many parts is searched once.
inline std::optional<std::string_view> takeLine(std::string_view &text, std::size_t &searched)
{
    constexpr std::string_view terminator = "\r\n";
    const std::size_t end = text.find(terminator, searched);
    if (end == std::string_view::npos) {
        // The last byte may be the first one of a terminator.
        searched = text.empty() ? 0 : text.size() - 1;
        return std::nullopt;
    }
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + terminator.size());
    searched = 0;
    return line;
}

/// The same for a text of which nothing was searched.
inline std::optional<std::string_view> takeLine(std::string_view &text)
{
    std::size_t searched = 0;
    return takeLine(text, searched);
}

} // namespace mustardrouter
