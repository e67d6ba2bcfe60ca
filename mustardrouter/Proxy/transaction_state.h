#pragma once

#include <cstdint>

namespace mustardrouter
{

/// What a session's transaction is at.
enum class transaction_state : std::uint8_t {
    none,
    open,
    /// Only its end is accepted.
    failed,
};

} // namespace mustardrouter
