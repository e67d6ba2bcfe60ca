#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Edge/statement_header.h"
#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Network/frame_listener.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Proxy/relay_channels.h"
#include "mustardrouter/Proxy/sent_work.h"
#include "mustardrouter/Schema/relay.pb.h"

#include <asio/io_context.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardrouter
{

/// A channel that another instance opened to this one.
struct relay_channel {
    /// Number of the incoming link, unique within this process.
    std::uint64_t link = 0;
    std::uint64_t channel = 0;

    auto operator<=>(const relay_channel &) const = default;
};

/// Links between instances that carry relayed statements: one TCP connection to each holder in use, with a channel for each statement
/// or transaction at a time. Carries lines of the clients' protocol without reading them. Not thread-safe.
class relay_links
{
public:
    struct handlers {
        /// A channel to a holder can be used.
        std::function<void(database_connection_id)> onOpened;
        /// A channel to a holder was closed by the holder, or its link was lost or could not be opened.
        std::function<void(database_connection_id, sent_work)> onClosed;
        /// A holder sent replies; `atNamedGroup` if they are known to be those of the group that the statements named.
        std::function<void(database_connection_id, std::string_view lines, bool atNamedGroup)> onReplies;
        /// Another instance relays statements; `opens` if they are the first ones of the channel.
        std::function<void(relay_channel, bool opens, const statement_header &header, std::string_view lines)> onStatements;
        /// Another instance closed its channel, or its link was lost.
        std::function<void(relay_channel)> onChannelClosed;
        /// A message other than statements and replies arrived on the link to the address.
        std::function<void(const std::string &address, const relay::relay_message &)> onPeerMessage{};
        /// The same on a link that another instance opened.
        std::function<void(std::uint64_t link, const relay::relay_message &)> onIncomingMessage{};
        /// The link to the address was lost, could not be opened, or was dropped.
        std::function<void(const std::string &address)> onPeerLost{};
        /// A link that another instance opened was lost.
        std::function<void(std::uint64_t link)> onIncomingLost{};
        /// A message for a channel that is not open was not handled.
        std::function<void(relay_channel, std::uint32_t number)> onNotHandled{};
        /// The holder at the address opens no new channels on this link.
        std::function<void(const std::string &address)> onHolderCloses{};
    };

    relay_links(asio::io_context &context, handlers callbacks);

    /// Accepts links at IP:PORT; false when the address is not available.
    bool listen(const std::string &address);

    /// Opens a channel to the holder at the address; calls onOpened or onClosed later.
    void open(database_connection_id connection, const std::string &address);
    void send(database_connection_id connection, const statement_header &header, const std::string &lines);
    /// Closes a channel without a callback.
    void close(database_connection_id connection);
    /// Whether channels to the address are open or being opened.
    bool hasChannels(const std::string &address) const;
    /// Closes the link to the address without callbacks; its channels must have been closed.
    void dropLink(const std::string &address);
    /// Closes the link to the address if no channel uses it.
    void dropUnusedLink(const std::string &address);

    /// Sends a message to the instance at the address; opens the link if there is none. What is sent on a link that is lost is lost.
    void sendToPeer(const std::string &address, const relay::relay_message &message);
    /// Sends a message on a link that another instance opened; does nothing if it was lost.
    void sendOnIncoming(std::uint64_t link, const relay::relay_message &message);

    void reply(const relay_channel &channel, const std::string &lines);
    /// Whether output to an instance that has opened a link to this one is unsent.
    bool hasUnsentReplies() const;
    /// Closes a channel of another instance without a callback.
    void closeChannel(const relay_channel &channel);
    /// From now on opens no channel for other instances that number their messages, and tells them so.
    void refuseNewChannels();
    /// When a message for a channel that is not open arrived last; the epoch if none did.
    time_point lastRefusedAt() const
    {
        return m_lastRefusedAt;
    }

private:
    struct outgoing_link {
        std::shared_ptr<frame_connection> frames;
        std::set<database_connection_id> channels;
        std::set<database_connection_id> waitingForOpen;
    };
    struct incoming_link {
        std::shared_ptr<frame_connection> frames;
        relay_channels channels;
    };
    struct outgoing_channel {
        std::string address;
        /// Number of the last message.
        std::uint32_t sent = 0;
    };

    outgoing_link &linkTo(const std::string &address);
    void confirmOpen(const std::string &address);
    void tellPeerLost(const std::string &address);
    void onOutgoingFrame(const std::string &address, std::string_view payload);
    void onOutgoingClosed(const std::string &address, const frame_connection &frames);
    void accept(const std::shared_ptr<frame_connection> &frames);
    void onIncomingFrame(std::uint64_t link, std::string_view payload);
    void onIncomingStatements(std::uint64_t link, const relay::relayed_statements &statements);
    void onIncomingClosed(std::uint64_t link);

    asio::io_context &m_context;
    handlers m_handlers;
    frame_listener m_listener;
    std::map<std::string, outgoing_link> m_outgoing;
    std::unordered_map<database_connection_id, outgoing_channel> m_outgoingChannels;
    std::unordered_map<std::uint64_t, incoming_link> m_incoming;
    std::uint64_t m_nextLink = 1;
    bool m_refusesNew = false;
    time_point m_lastRefusedAt{};
};

} // namespace mustardrouter
