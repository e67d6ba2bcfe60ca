#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace mustardrouter
{

/// Floors of one session: for each group, the log entry that its reads must not fall behind.
using session_floors_by_group = std::map<group_name, log_entry>;

/// Encodes the floors as a token that only holders of the key can create.
/// The token is base64url text: version, floors, and the first 16 bytes of an HMAC-SHA-256 (RFC 2104).
std::string encodeToken(const session_floors_by_group &floors, std::string_view key);

/// Decodes a token. An empty token has no floors; a forged, truncated or otherwise corrupt one gives
/// failure::badSessionToken.
std::variant<session_floors_by_group, failure> decodeToken(std::string_view token, std::string_view key);

/// Raises the floor of a group; a lower entry has no effect.
void raiseFloor(session_floors_by_group &floors, const group_name &group, const log_entry &entry);

} // namespace mustardrouter
