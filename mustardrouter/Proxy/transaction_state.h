#pragma once

#include <cstdint>

namespace mustardrouter
{

/// State of a session's transaction.
enum class transaction_state : std::uint8_t {
    none,
    open,
    /// Only COMMIT and ROLLBACK are accepted.
    failed,
};

} // namespace mustardrouter
