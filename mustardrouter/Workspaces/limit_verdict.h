#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

enum class limit_decision : std::uint8_t {
    /// Send the statement now.
    send,
    /// Try again when the workspace is resumed.
    wait,
    /// The limit is reached.
    refuse,
};

struct limit_verdict {
    limit_decision decision = limit_decision::send;
    /// Only with refuse: time until the next token.
    duration retryAfter{};
};

} // namespace mustardrouter
