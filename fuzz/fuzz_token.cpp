// Fuzzes session tokens, which come from callers: any input must be decoded or rejected, a token made by encodeToken() must
// decode to the same floors, and no modified token may decode to other floors.

#include "mustardrouter/Sessions/session_token.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace mustardrouter;

const std::string key = "key of the fuzz target";

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

session_floors_by_group floorsFrom(std::string_view bytes)
{
    constexpr std::size_t entryBytes = 4;
    session_floors_by_group floors;
    for (; bytes.size() >= entryBytes; bytes.remove_prefix(entryBytes)) {
        const auto number = [&](std::size_t index) {
            return static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[index]));
        };
        const group_name group(std::string(bytes.substr(0, 1 + number(0) % 3)));
        raiseFloor(floors, group, {term_number(number(2) << (number(3) % 56)), log_position(number(3))});
    }
    return floors;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    require(input.empty() || std::holds_alternative<failure>(decodeToken(input, key)));
    const session_floors_by_group floors = floorsFrom(input);
    std::string token = encodeToken(floors, key);
    const auto decoded = decodeToken(token, key);
    require(std::holds_alternative<session_floors_by_group>(decoded));
    require(std::get<session_floors_by_group>(decoded) == floors);
    if (size > 1 && !token.empty()) {
        char &altered = token[data[0] % token.size()];
        altered = static_cast<char>(data[1]);
        // Base64 may encode the same bytes in several ways, so a modified token may be valid if its floors are the same.
        const auto again = decodeToken(token, key);
        require(std::holds_alternative<failure>(again) || std::get<session_floors_by_group>(again) == floors);
    }
    return 0;
}
