#pragma once

#include "mustardrouter/Edge/edge_metrics.h"
#include "mustardrouter/Edge/ignored_entries.h"
#include "mustardrouter/Edge/instance_registration.h"
#include "mustardrouter/Edge/limit_links.h"
#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Edge/liveness_probes.h"
#include "mustardrouter/Edge/object_watch.h"
#include "mustardrouter/Edge/relay_links.h"
#include "mustardrouter/Edge/store_feed.h"
#include "mustardrouter/Edge/store_history.h"
#include "mustardrouter/Proxy/proxy_engine.h"
#include "mustardrouter/Runtime/event_log.h"
#include "platform/line_codec.h"
#include "platform/monitoring_server.h"
#include "platform/settings_file.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// An instance on the users' platform. Passes events from sockets, timers and the platform's store to the proxy engine and
/// performs the actions that the engine returns. Single-threaded, except for the event log's writer thread.
class edge_instance
{
public:
    edge_instance(std::string settingsPath, platform::instance_environment environment, event_log &log);

    /// Serves until a stop request has been carried out. Returns false if the instance can't start.
    bool run();
    /// Requests a stop, as SIGTERM does. May be called from any thread.
    void requestStop();

private:
    struct database_stream {
        std::shared_ptr<line_stream> stream;
        platform::reply_assembler assembler;
        database_name database;
        bool startupAccepted = false;
    };
    struct client_stream {
        std::shared_ptr<line_stream> stream;
        bool startupReceived = false;
        /// When the last statement arrived.
        time_point statementReceivedAt{};
    };

    time_point now() const;
    relay_links::handlers relayHandlers();
    bool listenForClients();
    void acceptClient();
    void addClient(asio::ip::tcp::socket socket);
    void onClientLine(session_id id, std::string_view line);
    void onClientClosed(session_id id, close_reason reason);
    void onDatabaseLine(database_connection_id id, std::string_view line);
    void onDatabaseClosed(database_connection_id id);
    void onHolderReplies(database_connection_id id, std::string_view lines, bool atNamedGroup);
    void onRelayedLines(const relay_channel &channel, bool opens, const statement_header &header, std::string_view lines);
    void onRelayChannelClosed(const relay_channel &channel);
    limit_links::handlers limitHandlers();

    /// Performs the engine's pending actions and schedules its next timer.
    void performActions();
    void performAction(accept_session &action);
    void performAction(close_session &action);
    void performAction(reply_to_client &action);
    void performAction(open_database_connection &action);
    void performAction(send_commands &action);
    void performAction(close_database_connection &action);
    void performAction(drop_holder_link &action);
    void performAction(read_claim &action);
    void performAction(verify_claim &action);
    void performAction(write_claim &action);
    void performAction(order_promotion &action);
    void performAction(record_first_write &action);
    void performAction(send_limit_message &action);
    void performAction(report_event &action);
    void flushStreams();
    void scheduleEngineTimer();

    feed_settings feedSettings() const;
    void startWatches();
    store_history::handlers historyHandlers();
    void logTransfer(const char *kind, bool always, const object_watch::transfer &what);
    /// Logs that objects could not be read, each time that their number has doubled.
    void logUnreadable();
    void onDatabasesChanged(const object_watch::objects &objects, time_point changedSince);
    void onConfigurationChanged(const object_watch::objects &objects);
    void onInstancesChanged(const object_watch::objects &objects);
    std::shared_ptr<platform::http_client> promotionClient(const group_name &group, const std::string &address);

    void awaitSignals();
    void reload(const char *reason);
    void pollSettingsFile();
    void stop();
    void checkDrained();
    platform::monitoring_response handleMonitoringRequest(const std::string &path) const;

    std::string m_settingsPath;
    platform::instance_environment m_environment;
    /// Size of the largest configuration that was read, about.
    std::size_t m_configurationBytes = 0;
    event_log &m_log;
    asio::io_context m_context;
    proxy_engine m_engine;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    platform::monitoring_server m_readinessServer;
    platform::monitoring_server m_metricsServer;
    edge_metrics m_edgeMetrics;
    asio::signal_set m_signals;
    asio::steady_timer m_engineTimer;
    asio::steady_timer m_stopTimer;
    asio::steady_timer m_settingsPollTimer;
    time_point m_timerDueAt{};
    std::uint64_t m_nextSession = 1;
    std::unordered_map<session_id, client_stream> m_clients;
    std::unordered_map<database_connection_id, database_stream> m_databases;
    relay_links m_relayLinks;
    limit_links m_limitLinks;
    /// Assemblers of the replies of holders, by connection.
    std::unordered_map<database_connection_id, platform::reply_assembler> m_holderReplies;
    /// Sessions of the channels that other instances opened, both ways.
    std::map<relay_channel, session_id> m_sessionByChannel;
    std::unordered_map<session_id, relay_channel> m_channelBySession;
    store_history m_storeHistory;
    instance_registration m_registration;
    liveness_probes m_livenessProbes;
    store_feed m_storeFeed;
    std::vector<std::shared_ptr<line_stream>> m_streamsToFlush;
    /// Streams of clients that are being closed since the stop request; they exist until the client has closed its end.
    std::vector<std::weak_ptr<line_stream>> m_closingStreams;
    std::shared_ptr<object_watch> m_databaseWatch;
    std::shared_ptr<object_watch> m_configurationWatch;
    std::shared_ptr<object_watch> m_instanceWatch;
    std::uint64_t m_incompleteAnswers = 0;
    /// No watch has failed since one of them last reached the store again.
    bool m_storeReached = true;
    /// Time from the last loss of the store's history to the last list that was complete again.
    duration m_listedAgainAfter{};
    std::map<std::string, std::shared_ptr<platform::http_client>> m_promotionClients;
    std::map<group_name, std::shared_ptr<platform::http_client>> m_verificationClients;
    ignored_entries m_ignoredDatabases;
    ignored_entries m_ignoredInstances;
    /// Objects of the store's answers that could not be read, as of the last line of the log about them.
    std::uint64_t m_unreadableLogged = 0;
    std::string m_settingsFingerprint;
    bool m_performingActions = false;
    bool m_stopping = false;
    /// Since when new channels of other instances are refused; the epoch before.
    time_point m_refusingSince{};
    time_point m_stopSince{};
};

} // namespace mustardrouter
