#pragma once

#include "mustardrouter/Core/failure.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// Greatest size of one frame's payload, in bytes.
constexpr std::size_t maxFrameBytes = 4U << 20U;

/// What stands at the beginning of the bytes that arrived.
enum class frame_state : std::uint8_t {
    whole,
    /// The frame goes on in bytes that have not arrived.
    partial,
    refused,
};

/// One frame, or why there is none.
struct frame_read {
    frame_state state = frame_state::partial;
    std::string_view payload;
    /// Bytes of the whole frame with its length.
    std::size_t taken = 0;
    /// For frame_state::refused.
    failure cause = failure::none;
};

/// Reads the first frame: its length as a varint, then its payload.
frame_read readFrame(std::string_view bytes);

} // namespace mustardrouter
