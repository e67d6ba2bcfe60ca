#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>

namespace mustardrouter
{

/// Digest of a key, for messages between instances and for logs; a key can't be derived from it.
using key_digest = strong_type<struct key_digest_tag, std::uint64_t>;

/// The same on all instances; 0 for an empty key only.
key_digest digestOf(const api_key &key);

} // namespace mustardrouter
