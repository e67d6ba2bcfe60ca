#include "mustardrouter/Runtime/json_slices.h"

#include <cstddef>

namespace mustardrouter
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// End of the string that begins at the quote; npos if it has none.
std::size_t endOfString(std::string_view text, std::size_t quote)
{
    for (std::size_t at = quote + 1; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return std::string_view::npos;
}

/// Splits what stands between the brackets at its commas; nothing if brackets or quotes are not closed.
std::optional<std::vector<std::string_view>> split(std::string_view text, char open, char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    const std::string_view inside = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t start = 0;
    for (std::size_t at = 0; at < inside.size();) {
        const char letter = inside[at];
        if (letter == '"') {
            at = endOfString(inside, at);
            if (at == std::string_view::npos) {
                return std::nullopt;
            }
            continue;
        }
        if (letter == '[' || letter == '{') {
            depth += 1;
        } else if (letter == ']' || letter == '}') {
            if (depth == 0) {
                return std::nullopt;
            }
            depth -= 1;
        } else if (letter == ',' && depth == 0) {
            parts.push_back(trimmed(inside.substr(start, at - start)));
            start = at + 1;
        }
        at += 1;
    }
    if (depth != 0) {
        return std::nullopt;
    }
    const std::string_view last = trimmed(inside.substr(start));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

} // namespace

std::optional<std::vector<std::string_view>> elementsOf(std::string_view array)
{
    return split(array, '[', ']');
}

std::optional<std::vector<json_member>> membersOf(std::string_view object)
{
    const std::optional<std::vector<std::string_view>> parts = split(object, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<json_member> members;
    for (const std::string_view part : *parts) {
        const std::size_t end = part.empty() || part.front() != '"' ? std::string_view::npos : endOfString(part, 0);
        const std::size_t colon = end == std::string_view::npos ? end : part.find(':', end);
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        members.push_back({part.substr(1, end - 2), trimmed(part.substr(colon + 1))});
    }
    return members;
}

std::string_view valueOf(const std::vector<json_member> &members, std::string_view name)
{
    for (const json_member &member : members) {
        if (member.name == name) {
            return member.value;
        }
    }
    return {};
}

} // namespace mustardrouter
