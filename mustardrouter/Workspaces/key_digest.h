#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// Digest of a key, for messages between instances and for logs: the first 64 bits of a SHA-256. Two keys may have the same one, so it
/// never names a workspace by itself.
using key_digest = strong_type<struct key_digest_tag, std::uint64_t>;

/// The same on all instances; 0 for an empty key only.
key_digest digestOf(const api_key &key);
/// 16 hexadecimal digits, for the log.
std::string toText(key_digest digest);

} // namespace mustardrouter
