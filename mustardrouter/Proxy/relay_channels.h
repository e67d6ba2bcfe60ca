#pragma once

#include "mustardrouter/Proxy/sent_work.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace mustardrouter
{

/// What a holder does with a message that arrived for a channel.
enum class relay_arrival : std::uint8_t {
    /// Handles it; it is the channel's first one.
    opens,
    /// Handles it; the channel remembers what the ones before have left there.
    continues,
    /// Does not handle it: the channel that it counts on is not, or no longer, known here.
    notHandled,
    /// Does not handle it, and closes the channel, as messages before it are missing or it came twice.
    outOfOrder,
};

/// The channels of one link at the holder. A channel remembers a client's values, prepared names and transaction, so a message other
/// than the first one must not be handled without those before it. Numbers count a channel's messages from 1 on; 0 stands for builds
/// that do not number.
struct relay_channels {
    /// Number of the last message that was handled, by channel.
    std::unordered_map<std::uint64_t, std::uint32_t> open;
    /// The same for channels that this end has closed, the oldest first; bounded.
    std::unordered_map<std::uint64_t, std::uint32_t> closed;
    std::deque<std::uint64_t> closedInOrder;
    /// New channels are no longer opened.
    bool refusesNew = false;
};

/// A message arrived; records it as handled if it is to be.
relay_arrival arrive(relay_channels &channels, std::uint64_t channel, std::uint32_t number);
/// Number of the last message that was handled of a channel whose message with this number was not handled.
std::uint32_t handledBefore(const relay_channels &channels, std::uint64_t channel, std::uint32_t number);
/// What became of the last of `sent` messages, at the end that sent them, when the other end has closed the channel having handled
/// `handled` of them.
sent_work workOf(std::uint32_t handled, std::uint32_t sent);
/// This end closes the channel. Returns the number of the last message that was handled, 0 if the other end does not number; nothing
/// if the channel is not open.
std::optional<std::uint32_t> closeHere(relay_channels &channels, std::uint64_t channel);
/// The other end has closed the channel; false if it was not open.
bool closedThere(relay_channels &channels, std::uint64_t channel);

} // namespace mustardrouter
