#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace mustardrouter
{

/// A member of a JSON object: its name as it is written between the quotes, and the text of its value.
struct json_member {
    std::string_view name;
    std::string_view value;
};

/// The texts of an array's elements; nothing if the text is not one array. The elements are told apart by their brackets and quotes only:
/// one that a reader refuses, for its depth, a number or a character, does not keep the others from being read.
std::optional<std::vector<std::string_view>> elementsOf(std::string_view array);

/// The same for the members of an object.
std::optional<std::vector<json_member>> membersOf(std::string_view object);

/// The value of the member of this name; empty if there is none.
std::string_view valueOf(const std::vector<json_member> &members, std::string_view name);

} // namespace mustardrouter
