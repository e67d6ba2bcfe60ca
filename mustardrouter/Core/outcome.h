#pragma once

#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// Whether a request took effect.
enum class outcome : std::uint8_t {
    /// It ran, and a write is held by enough databases to survive a failover.
    done = 0,
    /// It had no effect and will have none.
    notRun = 1,
    /// It was sent, and whether it took effect is not known.
    unknown = 2,
};

/// Name of an outcome as shown to operators.
constexpr std::string_view toString(outcome value)
{
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::notRun:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace mustardrouter
