#pragma once

#include <cstdint>

namespace mustardrouter
{

/// What is known of the work that was sent last on a connection that was closed.
enum class sent_work : std::uint8_t {
    mayHaveRun,
    /// The holder has closed the channel before it handled the last message.
    notRun,
    /// The same, and nothing sent before on the channel was handled: the holder opens no new channels.
    notTaken,
};

} // namespace mustardrouter
