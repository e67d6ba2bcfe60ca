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
    for (const database_connection_id connection : relays) {
        onConnectionClosed(*entry, connection, now);
        if (m_relayedSessions.erase(channelOf(connection)) > 0) {
            onSessionClosed(engine, channelOf(connection), now);
        }
    }
    performActions();
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
            if (m_relayedSessions.erase(channel) > 0) {
                onSessionClosed(engine, channel, now);
            }
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
        m_relayedSessions.erase(ended->session);
        // After the replies that were sent before.
        events.emplace(now + relayDelay, [this, connection] {
            if (m_openRelays.erase(connection) > 0) {
                onConnectionClosed(*entry, connection, now);
            }
        });
        return true;
    }
    return false;
}

void proxy_world::relay(const send_commands &sent)
{
    const send_commands message = sent;
    events.emplace(now + relayDelay, [this, message] {
        if (relayLinkCut || !m_openRelays.contains(message.connection)) {
            return;
        }
        const session_id channel = channelOf(message.connection);
        if (m_relayedSessions.insert(channel).second) {
            onRelayedSessionStarted(engine, channel, now);
        }
        for (const database_command &command : message.commands) {
            std::string line;
            platform::encodeCommand(line, command);
            platform::relayed_statement relayed = platform::decodeRelayedLine(std::string_view(line).substr(0, line.size() - 2));
            onRelayedStatement(
                engine, channel, message.route, message.timeLeft, relayed.floor, std::move(relayed.statement), now, message.caller);
        }
    });
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
        received.position = reply.position;
        onDatabaseReply(*entry, connection, std::move(received), now);
    });
}

} // namespace mustardrouter
