#include "mustardrouter/Edge/edge_instance.h"
#include "mustardrouter/Edge/wire_lines.h"

#include <functional>
#include <utility>

/// The instance towards other instances: relayed statements, and messages on the links between them.
namespace mustardrouter
{

namespace
{

/// Calls the function with each line, without its terminator.
void forEachLine(std::string_view lines, const std::function<void(std::string_view)> &handleLine)
{
    while (const std::optional<std::string_view> line = takeLine(lines)) {
        handleLine(*line);
    }
}

} // namespace

void edge_instance::onHolderReplies(database_connection_id id, std::string_view lines, bool atNamedGroup)
{
    forEachLine(lines, [&](std::string_view line) {
        // Handling a reply may close the connection.
        const auto found = m_holderReplies.find(id);
        if (found == m_holderReplies.end()) {
            return;
        }
        std::optional<database_reply> reply = platform::assemble(found->second, line);
        if (found->second.broken) {
            m_holderReplies.erase(found);
            m_relayLinks.close(id);
            onConnectionClosed(m_engine, id, now());
        } else if (reply) {
            if (!atNamedGroup) {
                // The position may be one in the log of another group.
                reply->position.reset();
            }
            onDatabaseReply(m_engine, id, std::move(*reply), now());
        }
    });
    performActions();
}

void edge_instance::onRelayedLines(const relay_channel &channel, bool opens, const statement_header &header, std::string_view lines)
{
    if (opens) {
        const session_id added(m_nextSession++);
        m_sessionByChannel[channel] = added;
        m_channelBySession[added] = channel;
        onRelayedSessionStarted(m_engine, added, now());
    }
    const auto found = m_sessionByChannel.find(channel);
    if (found == m_sessionByChannel.end()) {
        return;
    }
    const session_id session = found->second;
    forEachLine(lines, [&](std::string_view line) {
        platform::relayed_statement relayed = platform::decodeRelayedLine(line);
        onRelayedStatement(m_engine,
                           session,
                           header.route,
                           header.timeLeft,
                           relayed.floor,
                           std::move(relayed.statement),
                           now(),
                           header.caller,
                           header.served);
    });
    performActions();
}

void edge_instance::onRelayChannelClosed(const relay_channel &channel)
{
    const auto found = m_sessionByChannel.find(channel);
    if (found == m_sessionByChannel.end()) {
        return;
    }
    const session_id session = found->second;
    m_sessionByChannel.erase(found);
    m_channelBySession.erase(session);
    onSessionClosed(m_engine, session, now());
    performActions();
}

relay_links::handlers edge_instance::relayHandlers()
{
    relay_links::handlers handlers;
    handlers.onOpened = [this](database_connection_id id) {
        onConnectionOpened(m_engine, id, now());
        performActions();
    };
    handlers.onClosed = [this](database_connection_id id, sent_work lastSent) {
        m_holderReplies.erase(id);
        onConnectionClosed(m_engine, id, now(), lastSent);
        performActions();
    };
    handlers.onReplies = [this](database_connection_id id, std::string_view lines, bool atNamedGroup) {
        onHolderReplies(id, lines, atNamedGroup);
    };
    handlers.onStatements = [this](const relay_channel &channel, bool opens, const statement_header &header, std::string_view lines) {
        onRelayedLines(channel, opens, header, lines);
    };
    handlers.onChannelClosed = [this](const relay_channel &channel) {
        onRelayChannelClosed(channel);
    };
    handlers.onNotHandled = [this](const relay_channel &channel, std::uint32_t number) {
        m_engine.counters.relayedRefused += 1;
        m_log.write(
            "relayed_refused",
            {{"link", std::to_string(channel.link)}, {"channel", std::to_string(channel.channel)}, {"number", std::to_string(number)}});
    };
    handlers.onHolderCloses = [this](const std::string &address) {
        onHolderCloses(m_engine, address, now());
        performActions();
    };
    handlers.onPeerMessage = [this](const std::string &address, const relay::relay_message &message) {
        if (message.has_probe()) {
            m_livenessProbes.onPeerMessage(message.probe());
        } else if (message.has_changes()) {
            m_storeFeed.onPeerMessage(address, message.changes());
        } else {
            m_limitLinks.onPeerMessage(address, message);
        }
    };
    handlers.onIncomingMessage = [this](std::uint64_t link, const relay::relay_message &message) {
        if (message.has_probe()) {
            m_livenessProbes.onIncomingMessage(link, message.probe());
        } else if (message.has_changes()) {
            m_storeFeed.onIncomingMessage(link, message.changes());
        } else {
            m_limitLinks.onIncomingMessage(link, message);
        }
    };
    handlers.onPeerLost = [this](const std::string &address) {
        m_storeFeed.onPeerLost(address);
        m_limitLinks.onPeerLost(address);
    };
    handlers.onIncomingLost = [this](std::uint64_t link) {
        m_storeFeed.onIncomingLost(link);
        m_limitLinks.onIncomingLost(link);
    };
    return handlers;
}

limit_links::handlers edge_instance::limitHandlers()
{
    return {[this](const limit_message &message) {
                onLimitMessage(m_engine, message, now());
                performActions();
            },
            [this](const instance_name &peer) {
                onPeerLost(m_engine, peer, now());
                performActions();
            }};
}

} // namespace mustardrouter
