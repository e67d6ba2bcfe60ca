#pragma once

#include "mustardrouter/Core/failure.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// Maximum size of a frame's payload.
constexpr std::size_t maxFrameBytes = 4U << 20U;

/// State of the first frame in the received bytes.
enum class frame_state : std::uint8_t {
    complete,
    /// More bytes are needed.
    partial,
    invalid,
};

/// Result of reading one frame.
struct frame_read {
    frame_state state = frame_state::partial;
    std::string_view payload;
    /// Size of the frame including its length prefix.
    std::size_t consumedBytes = 0;
    /// Set for frame_state::invalid.
    failure cause = failure::none;
};

/// Parses the first frame: a varint length prefix, then the payload.
frame_read readFrame(std::string_view bytes);

} // namespace mustardrouter
