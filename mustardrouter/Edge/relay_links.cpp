#include "mustardrouter/Edge/relay_links.h"

#include "mustardrouter/Edge/boot_time.h"
#include "mustardrouter/Network/tcp_options.h"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace mustardrouter
{

namespace
{

/// Stands for all channels of a link, in a message that closes; no channel has this number.
constexpr std::uint64_t wholeLink = 0;

relay::relay_message closing(std::uint64_t channel, std::optional<std::uint32_t> handled)
{
    relay::relay_message message;
    message.mutable_closed()->set_channel(channel);
    if (handled) {
        message.mutable_closed()->set_handled(*handled);
    }
    return message;
}

std::uint32_t millisOf(duration span)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(millis, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t numberOf(read_rule rule)
{
    switch (rule) {
    case read_rule::latest:
        return 0;
    case read_rule::session:
        return 1;
    case read_rule::age:
        return 2;
    }
    return 0;
}

/// Rules of later builds are taken for the strictest one.
read_rule ruleOf(std::uint32_t number)
{
    return number == 1 ? read_rule::session : number == 2 ? read_rule::age : read_rule::latest;
}

statement_header headerOf(const relay::relayed_statements &statements)
{
    statement_header header;
    header.route = statements.route();
    header.timeLeft = std::chrono::milliseconds(statements.time_left_ms());
    header.caller = {workspace_name(statements.workspace()), key_digest(statements.key_digest())};
    if (statements.has_group()) {
        header.served = relayed_route{
            group_name(statements.group()), ruleOf(statements.read_rule()), std::chrono::milliseconds(statements.max_age_ms())};
    }
    return header;
}

} // namespace

relay_links::relay_links(asio::io_context &context, handlers callbacks)
    : m_context(context)
    , m_handlers(std::move(callbacks))
    , m_listener(context, [this](const std::shared_ptr<frame_connection> &frames) {
        accept(frames);
    })
{
}

bool relay_links::listen(const std::string &address)
{
    return handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(m_listener.listen(address));
            return true;
        },
        [](const error &) {
            return false;
        });
}

relay_links::outgoing_link &relay_links::linkTo(const std::string &address)
{
    outgoing_link &link = m_outgoing[address];
    if (link.frames) {
        return link;
    }
    link.frames = std::make_shared<frame_connection>(asio::ip::tcp::socket(m_context));
    link.frames->connect(
        endpointOrUnspecified(address),
        [this, address](frame_connection &, std::string_view payload) {
            onOutgoingFrame(address, payload);
        },
        [this, address](frame_connection &frames, failure) {
            onOutgoingClosed(address, frames);
        },
        [this, address] {
            confirmOpen(address);
        });
    return link;
}

void relay_links::open(database_connection_id connection, const std::string &address)
{
    outgoing_link &link = linkTo(address);
    m_outgoingChannels[connection] = {address, 0};
    link.channels.insert(connection);
    link.waitingForOpen.insert(connection);
    if (link.frames->isConnected()) {
        asio::post(m_context, [this, address] {
            confirmOpen(address);
        });
    }
}

void relay_links::confirmOpen(const std::string &address)
{
    const auto found = m_outgoing.find(address);
    if (found == m_outgoing.end()) {
        return;
    }
    for (const database_connection_id connection : std::exchange(found->second.waitingForOpen, {})) {
        m_handlers.onOpened(connection);
    }
}

void relay_links::send(database_connection_id connection, const statement_header &header, const std::string &lines)
{
    const auto channel = m_outgoingChannels.find(connection);
    if (channel == m_outgoingChannels.end()) {
        return;
    }
    channel->second.sent += 1;
    relay::relay_message message;
    relay::relayed_statements &statements = *message.mutable_statements();
    statements.set_channel(connection.value());
    statements.set_route(header.route);
    statements.set_time_left_ms(millisOf(header.timeLeft));
    statements.set_lines(lines);
    statements.set_number(channel->second.sent);
    statements.set_workspace(header.caller.workspace.value());
    statements.set_key_digest(header.caller.key.value());
    if (header.served) {
        statements.set_group(header.served->group.value());
        statements.set_read_rule(numberOf(header.served->rule));
        statements.set_max_age_ms(millisOf(header.served->maxAge));
    }
    m_outgoing.at(channel->second.address).frames->send(message);
}

void relay_links::close(database_connection_id connection)
{
    const auto channel = m_outgoingChannels.find(connection);
    if (channel == m_outgoingChannels.end()) {
        return;
    }
    const auto link = m_outgoing.find(channel->second.address);
    m_outgoingChannels.erase(channel);
    if (link == m_outgoing.end()) {
        return;
    }
    link->second.channels.erase(connection);
    if (link->second.waitingForOpen.erase(connection) > 0) {
        // A link that can't be established is given up with the last channel that waits for it.
        if (!link->second.frames->isConnected() && link->second.channels.empty()) {
            dropLink(link->first);
        }
        return;
    }
    relay::relay_message message;
    message.mutable_closed()->set_channel(connection.value());
    link->second.frames->send(message);
}

bool relay_links::hasChannels(const std::string &address) const
{
    const auto link = m_outgoing.find(address);
    return link != m_outgoing.end() && !link->second.channels.empty();
}

void relay_links::dropLink(const std::string &address)
{
    // The argument may refer to the key that is taken out.
    const auto link = m_outgoing.extract(address);
    if (link.empty()) {
        return;
    }
    for (const database_connection_id connection : link.mapped().channels) {
        m_outgoingChannels.erase(connection);
    }
    link.mapped().frames->close(failure::connectionLost);
    tellPeerLost(link.key());
}

void relay_links::dropUnusedLink(const std::string &address)
{
    const auto link = m_outgoing.find(address);
    if (link != m_outgoing.end() && link->second.channels.empty()) {
        dropLink(address);
    }
}

void relay_links::tellPeerLost(const std::string &address)
{
    if (m_handlers.onPeerLost) {
        m_handlers.onPeerLost(address);
    }
}

void relay_links::onOutgoingFrame(const std::string &address, std::string_view payload)
{
    relay::relay_message message;
    const auto link = m_outgoing.find(address);
    if (link == m_outgoing.end()) {
        return;
    }
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        link->second.frames->close(failure::malformedFrame);
        return;
    }
    if (message.has_replies()) {
        const database_connection_id connection(message.replies().channel());
        if (link->second.channels.contains(connection)) {
            m_handlers.onReplies(connection, message.replies().lines(), message.replies().at_named_group());
        }
    } else if (message.has_closed() && message.closed().channel() == wholeLink) {
        if (m_handlers.onHolderCloses) {
            m_handlers.onHolderCloses(address);
        }
    } else if (message.has_closed()) {
        const database_connection_id connection(message.closed().channel());
        if (link->second.channels.erase(connection) > 0) {
            const std::uint32_t sent = m_outgoingChannels.at(connection).sent;
            m_outgoingChannels.erase(connection);
            const bool numbered = message.closed().has_handled();
            m_handlers.onClosed(connection, numbered ? workOf(message.closed().handled(), sent) : sent_work::mayHaveRun);
        }
    } else if (m_handlers.onPeerMessage) {
        m_handlers.onPeerMessage(address, message);
    }
}

void relay_links::onOutgoingClosed(const std::string &address, const frame_connection &frames)
{
    const auto link = m_outgoing.find(address);
    if (link == m_outgoing.end() || link->second.frames.get() != &frames) {
        return;
    }
    const std::set<database_connection_id> channels = link->second.channels;
    m_outgoing.erase(link);
    for (const database_connection_id connection : channels) {
        m_outgoingChannels.erase(connection);
    }
    for (const database_connection_id connection : channels) {
        m_handlers.onClosed(connection, sent_work::mayHaveRun);
    }
    tellPeerLost(address);
}

void relay_links::accept(const std::shared_ptr<frame_connection> &frames)
{
    const std::uint64_t number = m_nextLink++;
    incoming_link &link = m_incoming[number];
    link.frames = frames;
    link.channels.refusesNew = m_refusesNew;
    frames->start(
        [this, number](frame_connection &, std::string_view payload) {
            onIncomingFrame(number, payload);
        },
        [this, number](frame_connection &, failure) {
            onIncomingClosed(number);
        });
}

void relay_links::onIncomingFrame(std::uint64_t link, std::string_view payload)
{
    const auto found = m_incoming.find(link);
    relay::relay_message message;
    if (found == m_incoming.end()) {
        return;
    }
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        found->second.frames->close(failure::malformedFrame);
        return;
    }
    if (message.has_statements()) {
        onIncomingStatements(link, message.statements());
    } else if (message.has_closed()) {
        if (closedThere(found->second.channels, message.closed().channel())) {
            m_handlers.onChannelClosed({link, message.closed().channel()});
        }
    } else if (m_handlers.onIncomingMessage) {
        m_handlers.onIncomingMessage(link, message);
    }
}

void relay_links::onIncomingStatements(std::uint64_t link, const relay::relayed_statements &statements)
{
    incoming_link &from = m_incoming.at(link);
    const relay_channel channel{link, statements.channel()};
    const std::uint32_t number = statements.number();
    const relay_arrival arrival = arrive(from.channels, channel.channel, number);
    if (arrival == relay_arrival::opens || arrival == relay_arrival::continues) {
        m_handlers.onStatements(channel, arrival == relay_arrival::opens, headerOf(statements), statements.lines());
        return;
    }
    if (arrival == relay_arrival::outOfOrder) {
        closeChannel(channel);
        m_handlers.onChannelClosed(channel);
        return;
    }
    m_lastRefusedAt = bootTime();
    if (m_handlers.onNotHandled) {
        m_handlers.onNotHandled(channel, number);
    }
    if (number > 0) {
        from.frames->send(closing(channel.channel, handledBefore(from.channels, channel.channel, number)));
    }
}

void relay_links::refuseNewChannels()
{
    m_refusesNew = true;
    // Sending may close a link whose other end does not read.
    std::vector<std::shared_ptr<frame_connection>> links;
    for (auto &[number, link] : m_incoming) {
        link.channels.refusesNew = true;
        links.push_back(link.frames);
    }
    for (const std::shared_ptr<frame_connection> &frames : links) {
        frames->send(closing(wholeLink, 0));
    }
}

void relay_links::onIncomingClosed(std::uint64_t link)
{
    const auto found = m_incoming.find(link);
    if (found == m_incoming.end()) {
        return;
    }
    const relay_channels channels = std::move(found->second.channels);
    m_incoming.erase(found);
    for (const auto &[channel, handled] : channels.open) {
        m_handlers.onChannelClosed({link, channel});
    }
    if (m_handlers.onIncomingLost) {
        m_handlers.onIncomingLost(link);
    }
}

void relay_links::sendToPeer(const std::string &address, const relay::relay_message &message)
{
    linkTo(address).frames->send(message);
}

void relay_links::sendOnIncoming(std::uint64_t link, const relay::relay_message &message)
{
    const auto found = m_incoming.find(link);
    if (found != m_incoming.end()) {
        found->second.frames->send(message);
    }
}

void relay_links::reply(const relay_channel &channel, const std::string &lines)
{
    const auto found = m_incoming.find(channel.link);
    if (found == m_incoming.end()) {
        return;
    }
    relay::relay_message message;
    message.mutable_replies()->set_channel(channel.channel);
    message.mutable_replies()->set_lines(lines);
    message.mutable_replies()->set_at_named_group(true);
    found->second.frames->send(message);
}

bool relay_links::hasUnsentReplies() const
{
    return std::ranges::any_of(m_incoming, [](const auto &entry) {
        return entry.second.frames->unsentBytes() > 0;
    });
}

void relay_links::closeChannel(const relay_channel &channel)
{
    const auto found = m_incoming.find(channel.link);
    if (found == m_incoming.end()) {
        return;
    }
    const std::optional<std::uint32_t> handled = closeHere(found->second.channels, channel.channel);
    if (handled) {
        const std::shared_ptr<frame_connection> frames = found->second.frames;
        frames->send(closing(channel.channel, *handled > 0 ? handled : std::nullopt));
    }
}

} // namespace mustardrouter
