#include "UnitTests/Proxy/proxy_world.h"
#include "platform/line_codec.h"

#include <string_view>

/// The part of the simulation that connects an instance that relays with the one that holds the connections.
namespace mustardrouter
{

using namespace std::chrono_literals;

namespace
{

/// Ids of the relaying instance's connections and sessions, and of the sessions of its channels, are above these.
constexpr std::uint64_t entryIds = 1'000'000;
constexpr std::uint64_t channelIds = 2'000'000;

session_id channelOf(database_connection_id connection)
{
    return session_id(channelIds + connection.value());
}

database_connection_id connectionOf(session_id channel)
{
    return database_connection_id(channel.value() - channelIds);
}

} // namespace

void proxy_world::addEntry(std::uint32_t connections)
{
    proxy_settings settings = engine.settings;
    settings.instance = "instance-2";
    settings.dataCentre = "dc-1";
    settings.seed += 1;
    entry = std::make_unique<proxy_engine>(settings);
    entry->nextConnectionId = entryIds;
    connectionLimit = connections;
    publishListing();
    configure(engine.routes.version.value() + 1);
    // With the relaying instance leaving, the other is the only candidate for holder.
    const instance_listing instances{
        {instance_name("instance-1"), "10.1.0.1:2", "dc-0", 1, false}, {instance_name("instance-2"), "10.1.0.2:2", "dc-1", 1, true}};
    onInstances(engine, instances, now);
    onInstances(*entry, instances, now);
    performActions();
}

fake_client &proxy_world::connectToEntry(const std::string &database, const std::string &key)
{
    const session_id id(entryIds + nextSession++);
    fake_client &client = clients[id];
    client.id = id;
    client.database = database;
    client.key = api_key(key);
    onSessionStarted(*entry, id, database, now, client.key);
    performActions();
    return client;
}

void proxy_world::resetRelayLink()
{
    const std::set<database_connection_id> relays = std::exchange(m_openRelays, {});
    m_relayLink += 1;
    for (const database_connection_id connection : relays) {
        onConnectionClosed(*entry, connection, now);
    }
    for (const auto &[channel, handled] : std::exchange(m_relayChannels, {}).open) {
        onSessionClosed(engine, session_id(channel), now);
    }
    performActions();
}

void proxy_world::closeRelayedSessions()
{
    for (const auto &[channel, handled] : m_relayChannels.open) {
        engine.actions.emplace_back(close_session{session_id(channel), reply_code::done, {}});
        onSessionClosed(engine, session_id(channel), now);
    }
    performActions();
}

void proxy_world::standStill()
{
    holderStandsStill = true;
}

void proxy_world::thaw()
{
    holderStandsStill = false;
    onTimer(engine, now);
    performActions();
    while (!m_unreadByHolder.empty()) {
        const std::function<void()> handle = std::move(m_unreadByHolder.front());
        m_unreadByHolder.pop_front();
        handle();
        performActions();
    }
}

void proxy_world::whenRuns(const proxy_engine &receiver, std::function<void()> handle)
{
    if (holderStandsStill && &receiver == &engine) {
        m_unreadByHolder.push_back(std::move(handle));
        return;
    }
    handle();
}

proxy_engine &proxy_world::engineOf(database_connection_id connection)
{
    return connection.value() >= entryIds ? *entry : engine;
}

proxy_engine &proxy_world::engineOf(session_id session)
{
    return session.value() >= entryIds && session.value() < channelIds ? *entry : engine;
}

bool proxy_world::performRelayed(proxy_action &action)
{
    if (!entry) {
        return false;
    }
    if (const auto *opened = std::get_if<open_database_connection>(&action); opened != nullptr && opened->toHolder) {
        const database_connection_id connection = opened->connection;
        m_openRelays.insert(connection);
        events.emplace(now + relayDelay, [this, connection] {
            if (!relayLinkCut && m_openRelays.contains(connection)) {
                onConnectionOpened(*entry, connection, now);
            }
        });
        return true;
    }
    if (const auto *sent = std::get_if<send_commands>(&action); sent != nullptr && m_openRelays.contains(sent->connection)) {
        relay(*sent);
        return true;
    }
    if (const auto *closed = std::get_if<close_database_connection>(&action);
        closed != nullptr && m_openRelays.erase(closed->connection) > 0) {
        const session_id channel = channelOf(closed->connection);
        events.emplace(now + relayDelay, [this, channel] {
            whenRuns(engine, [this, channel] {
                if (closedThere(m_relayChannels, channel.value())) {
                    onSessionClosed(engine, channel, now);
                }
            });
        });
        return true;
    }
    if (std::holds_alternative<drop_holder_link>(action)) {
        return true;
    }
    if (const auto *replied = std::get_if<reply_to_client>(&action); replied != nullptr && replied->session.value() >= channelIds) {
        relayReply(connectionOf(replied->session), replied->reply);
        return true;
    }
    if (const auto *ended = std::get_if<close_session>(&action); ended != nullptr && ended->session.value() >= channelIds) {
        const database_connection_id connection = connectionOf(ended->session);
        if (const std::optional<std::uint32_t> handled = closeHere(m_relayChannels, ended->session.value())) {
            relayClosed(connection, *handled);
        }
        return true;
    }
    return false;
}

void proxy_world::relay(const send_commands &sent)
{
    const send_commands message = sent;
    const std::uint32_t number = ++m_sentOnRelay[sent.connection];
    // What was sent arrives, also if the sender closes the channel meanwhile.
    events.emplace(now + relayDelay, [this, message, number, link = m_relayLink] {
        if (relayLinkCut || link != m_relayLink) {
            return;
        }
        whenRuns(engine, [this, message, number, link] {
            if (link == m_relayLink) {
                receiveRelayed(message, number);
            }
        });
    });
}

void proxy_world::relayClosed(database_connection_id connection, std::uint32_t handled)
{
    events.emplace(now + relayDelay, [this, connection, handled] {
        if (m_openRelays.erase(connection) > 0) {
            onConnectionClosed(*entry, connection, now, workOf(handled, m_sentOnRelay[connection]));
        }
    });
}

void proxy_world::receiveRelayed(const send_commands &message, std::uint32_t number)
{
    const session_id channel = channelOf(message.connection);
    m_relayChannels.refusesNew = refusesNewChannels;
    const relay_arrival arrival = arrive(m_relayChannels, channel.value(), number);
    if (arrival == relay_arrival::notHandled) {
        relayClosed(message.connection, handledBefore(m_relayChannels, channel.value(), number));
        return;
    }
    if (arrival == relay_arrival::outOfOrder) {
        relayClosed(message.connection, closeHere(m_relayChannels, channel.value()).value_or(0));
        onSessionClosed(engine, channel, now);
        return;
    }
    if (arrival == relay_arrival::opens) {
        onRelayedSessionStarted(engine, channel, now);
    }
    for (const database_command &command : message.commands) {
        std::string line;
        platform::encodeCommand(line, command);
        platform::relayed_statement relayed = platform::decodeRelayedLine(std::string_view(line).substr(0, line.size() - 2));
        onRelayedStatement(engine,
                           channel,
                           message.route,
                           message.timeLeft,
                           relayed.floor,
                           std::move(relayed.statement),
                           now,
                           message.caller,
                           groupsNotNamed ? std::nullopt : message.served);
    }
}

void proxy_world::relayReply(database_connection_id connection, const client_reply &reply)
{
    events.emplace(now + relayDelay, [this, connection, reply] {
        if (relayLinkCut || !m_openRelays.contains(connection)) {
            return;
        }
        database_reply received;
        received.code = reply.code;
        received.rows = reply.rows;
        received.signature = reply.signature;
        received.detail = reply.detail;
        received.state = reply.state;
        received.position = repliesNotMarked ? std::nullopt : reply.position;
        onDatabaseReply(*entry, connection, std::move(received), now);
    });
}

} // namespace mustardrouter
