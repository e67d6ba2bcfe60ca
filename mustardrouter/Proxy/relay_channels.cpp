#include "mustardrouter/Proxy/relay_channels.h"

namespace mustardrouter
{

namespace
{

/// Closed channels that are remembered of one link. They serve messages that were under way when the channel was closed.
constexpr std::size_t maxClosedRemembered = 1024;

} // namespace

relay_arrival arrive(relay_channels &channels, std::uint64_t channel, std::uint32_t number)
{
    const auto known = channels.open.find(channel);
    if (known != channels.open.end()) {
        const bool numbered = known->second > 0;
        if (number != (numbered ? known->second + 1 : 0)) {
            return relay_arrival::outOfOrder;
        }
        known->second = number;
        return relay_arrival::continues;
    }
    const bool closedBefore = channels.closed.contains(channel);
    // Without numbers, only a channel that was closed here tells a late message from a first one.
    const bool late = number == 0 ? closedBefore : number > 1;
    const bool refused = channels.refusesNew && number > 0;
    if (late || refused) {
        return relay_arrival::notHandled;
    }
    if (closedBefore) {
        channels.closed.erase(channel);
        std::erase(channels.closedInOrder, channel);
    }
    channels.open[channel] = number;
    return relay_arrival::opens;
}

std::uint32_t handledBefore(const relay_channels &channels, std::uint64_t channel, std::uint32_t number)
{
    const auto closed = channels.closed.find(channel);
    if (closed != channels.closed.end() && closed->second < number) {
        return closed->second;
    }
    // Messages of a link arrive in order: those before this one may have been handled, this one was not.
    return number == 0 ? 0 : number - 1;
}

sent_work workOf(std::uint32_t handled, std::uint32_t sent)
{
    if (handled >= sent) {
        return sent_work::mayHaveRun;
    }
    return handled == 0 ? sent_work::notTaken : sent_work::notRun;
}

std::optional<std::uint32_t> closeHere(relay_channels &channels, std::uint64_t channel)
{
    const auto found = channels.open.find(channel);
    if (found == channels.open.end()) {
        return std::nullopt;
    }
    const std::uint32_t handled = found->second;
    channels.open.erase(found);
    if (channels.closed.insert_or_assign(channel, handled).second) {
        channels.closedInOrder.push_back(channel);
    }
    if (channels.closedInOrder.size() > maxClosedRemembered) {
        channels.closed.erase(channels.closedInOrder.front());
        channels.closedInOrder.pop_front();
    }
    return handled;
}

bool closedThere(relay_channels &channels, std::uint64_t channel)
{
    return channels.open.erase(channel) > 0;
}

} // namespace mustardrouter
