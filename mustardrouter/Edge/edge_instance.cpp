#include "mustardrouter/Edge/edge_instance.h"

#include "mustardrouter/Edge/boot_time.h"
#include "mustardrouter/Network/tcp_options.h"
#include "platform/store_client.h"

#include <asio/post.hpp>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <random>
#include <utility>
#include <variant>

namespace mustardrouter
{

namespace
{

/// Limit for clients and databases alike: a database reply may be as long as the protocol allows.
constexpr std::size_t maxLineBytes = platform::maxLineBytes;
/// Pause before the next accept after one failed, for instance for lack of file descriptors.
constexpr auto acceptBackoff = std::chrono::milliseconds(50);
/// Interval at which the settings file is checked for changes, since it may change without a signal.
constexpr auto settingsPollInterval = std::chrono::seconds(2);
/// Interval at which a stopping instance checks whether all sessions have ended.
constexpr auto drainPollInterval = std::chrono::milliseconds(50);
/// Tenths of the grace period after which what is still unanswered gets its last answer, and hundredths after which the instance exits
/// even if clients have not taken theirs.
constexpr std::int64_t lastAnswersTenths = 9;
constexpr std::int64_t forcedStopHundredths = 97;
/// Tenths of the grace period over which idle sessions are closed, and during which new statements are accepted.
constexpr std::int64_t sessionCloseTenths = 4;
constexpr std::int64_t statementDrainTenths = 7;
/// The instance accepts clients for at least this long after a stop request; the platform sends some until it notices.
constexpr duration minAcceptTimeAfterStop = std::chrono::milliseconds(2600);
/// Before it exits, an instance refuses what others relay for this long: twice the time to another region and back.
constexpr duration relayQuietTime = std::chrono::milliseconds(80);

proxy_settings toSettings(const platform::instance_environment &environment)
{
    proxy_settings settings;
    settings.instance = environment.instance;
    settings.dataCentre = environment.dataCentre;
    settings.regions = environment.regions;
    settings.replacedPrimariesStepDown = environment.promotionsAreFenced;
    settings.warmUpEnabled = environment.isFirstSystemStart;
    settings.seed = std::hash<std::string>{}(environment.instance + environment.clientAddress);
    settings.limits.self = instance_name(environment.instance);
    settings.limits.isFirstSystemStart = environment.isFirstSystemStart;
    settings.limits.tenure = (static_cast<std::uint64_t>(std::random_device()()) << 32U) | std::random_device()();
    settings.limits.window = std::chrono::milliseconds(environment.quotaWindowMs);
    settings.limits.overrun = environment.quotaOverrun;
    settings.limits.slack = environment.quotaSlack;
    settings.leavingGracePeriod = std::max(duration{}, std::chrono::milliseconds(environment.drainMs) - leavingMargin);
    const duration gracePeriod = std::chrono::milliseconds(environment.stopGraceMs);
    settings.sessionCloseJitter = std::min(settings.sessionCloseJitter, gracePeriod * sessionCloseTenths / 10);
    settings.transactionDrainTimeout = gracePeriod / 2;
    settings.statementDrainTimeout = gracePeriod * statementDrainTenths / 10;
    return settings;
}

/// Modification time, size and inode of a file, to detect changes of its content; empty if the file can't be read.
std::string fileFingerprint(const std::string &path)
{
    struct stat status {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return {};
    }
    return std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec) + "." + std::to_string(status.st_size) + "."
           + std::to_string(status.st_ino);
}

} // namespace

namespace
{

bool hasDatabases(const proxy_engine &engine)
{
    return std::ranges::any_of(engine.groups, [](const auto &group) {
        return !group.second.databases.empty();
    });
}

} // namespace

edge_instance::edge_instance(std::string settingsPath, platform::instance_environment environment, event_log &log)
    : m_settingsPath(std::move(settingsPath))
    , m_environment(std::move(environment))
    , m_log(log)
    , m_engine(toSettings(m_environment))
    , m_acceptor(m_context)
    , m_acceptTimer(m_context)
    , m_readinessServer(m_context,
                        [this](const std::string &path) {
                            return handleMonitoringRequest(path);
                        })
    , m_metricsServer(m_context,
                      [this](const std::string &path) {
                          return handleMonitoringRequest(path);
                      })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_engineTimer(m_context)
    , m_stopTimer(m_context)
    , m_settingsPollTimer(m_context)
    , m_relayLinks(m_context, relayHandlers())
    , m_limitLinks(m_relayLinks, limitHandlers())
    , m_storeHistory(historyHandlers())
    , m_registration(m_context,
                     m_environment.storeAddress,
                     m_storeHistory,
                     {instance_name(m_environment.instance),
                      m_environment.relayAddress,
                      m_environment.dataCentre,
                      m_environment.processorShare,
                      false},
                     m_engine.settings.seed)
    , m_livenessProbes(m_context,
                       m_relayLinks,
                       m_environment.storeAddress,
                       m_storeHistory,
                       m_log,
                       instance_name(m_environment.instance),
                       m_engine.settings.seed)
    , m_storeFeed(m_context,
                  m_relayLinks,
                  m_log,
                  feedSettings(),
                  instance_name(m_environment.instance),
                  m_engine.settings.seed,
                  [this](store_era era) {
                      m_storeHistory.learn(era);
                  })
{
}

time_point edge_instance::now() const
{
    return bootTime();
}

bool edge_instance::run()
{
    m_log.write(
        "start",
        {{"data_centre", m_environment.dataCentre}, {"clients", m_environment.clientAddress}, {"store", m_environment.storeAddress}});
    if (!listenForClients()) {
        m_log.write("start_failed", {{"why", "client address not available"}, {"address", m_environment.clientAddress}});
        return false;
    }
    if (!m_readinessServer.listen(m_environment.readinessAddress)) {
        m_log.write("start_failed", {{"why", "readiness address not available"}, {"address", m_environment.readinessAddress}});
        return false;
    }
    if (!m_environment.relayAddress.empty() && !m_relayLinks.listen(m_environment.relayAddress)) {
        m_log.write("relay_unavailable", {{"address", m_environment.relayAddress}});
        m_environment.relayAddress.clear();
    }
    if (!m_environment.metricsAddress.empty() && !m_metricsServer.listen(m_environment.metricsAddress)) {
        m_log.write("metrics_unavailable", {{"address", m_environment.metricsAddress}});
    }
    m_settingsFingerprint = fileFingerprint(m_settingsPath);
    awaitSignals();
    startWatches();
    pollSettingsFile();
    m_context.run();
    std::size_t unsentBytes = 0;
    for (const std::weak_ptr<line_stream> &closing : m_closingStreams) {
        const std::shared_ptr<line_stream> stream = closing.lock();
        unsentBytes += stream ? stream->unsentBytes() : 0;
    }
    m_log.write("stop",
                {{"sessions_left", std::to_string(m_clients.size())},
                 {"statements_left", std::to_string(m_engine.counters.unfinishedAtStop)},
                 {"unsent_bytes", std::to_string(unsentBytes)},
                 {"lines_dropped", std::to_string(m_log.dropped())}});
    return true;
}

void edge_instance::requestStop()
{
    asio::post(m_context, [this] {
        stop();
    });
}

bool edge_instance::listenForClients()
{
    const asio::ip::tcp::endpoint endpoint = endpointOrUnspecified(m_environment.clientAddress);
    asio::error_code problem;
    m_acceptor.open(endpoint.protocol(), problem);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), problem);
    m_acceptor.bind(endpoint, problem);
    if (!problem) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, problem);
    }
    if (problem) {
        return false;
    }
    acceptClient();
    return true;
}

void edge_instance::acceptClient()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (!problem) {
            addClient(std::move(socket));
            acceptClient();
            return;
        }
        m_acceptTimer.expires_after(acceptBackoff);
        m_acceptTimer.async_wait([this](const asio::error_code &timerProblem) {
            if (!timerProblem) {
                acceptClient();
            }
        });
    });
}

void edge_instance::addClient(asio::ip::tcp::socket socket)
{
    const session_id id(m_nextSession++);
    line_stream::handlers callbacks;
    callbacks.onLine = [this, id](std::string_view line) {
        onClientLine(id, line);
    };
    callbacks.onEnd = [this, id](close_reason reason) {
        onClientClosed(id, reason);
    };
    auto stream = std::make_shared<line_stream>(std::move(socket), maxLineBytes, std::move(callbacks));
    m_clients[id] = {stream, false, {}};
    stream->start();
}

void edge_instance::onClientLine(session_id id, std::string_view line)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end()) {
        return;
    }
    platform::client_message message = platform::decodeClientLine(line);
    const bool isStart = std::holds_alternative<platform::client_start>(message);
    if (std::holds_alternative<platform::client_end>(message)) {
        const std::shared_ptr<line_stream> stream = found->second.stream;
        m_clients.erase(found);
        stream->closeAfterFlush();
        onSessionClosed(m_engine, id, now());
    } else if (isStart && !found->second.startupReceived) {
        found->second.startupReceived = true;
        const platform::client_start &start = std::get<platform::client_start>(message);
        onSessionStarted(m_engine, id, start.database, now(), start.key);
    } else if (std::holds_alternative<client_statement>(message) && found->second.startupReceived) {
        found->second.statementReceivedAt = now();
        const std::shared_ptr<line_stream> stream = found->second.stream;
        onStatement(m_engine, id, std::move(std::get<client_statement>(message)), now());
        if (!mayReadFrom(m_engine, id)) {
            stream->pauseReading();
        }
    } else {
        platform::encodeSessionRefused(found->second.stream->out(), reply_code::malformed, "not a message that is expected here");
        const std::shared_ptr<line_stream> stream = found->second.stream;
        m_clients.erase(found);
        stream->closeAfterFlush();
        onSessionClosed(m_engine, id, now());
    }
    performActions();
}

void edge_instance::onClientClosed(session_id id, close_reason reason)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end()) {
        return;
    }
    const std::shared_ptr<line_stream> stream = found->second.stream;
    m_clients.erase(found);
    if (reason == close_reason::lineTooLong) {
        platform::encodeSessionRefused(stream->out(), reply_code::tooLarge, "a message has at most 1 MiB");
        stream->closeAfterFlush();
    }
    onSessionClosed(m_engine, id, now());
    performActions();
}

void edge_instance::onDatabaseLine(database_connection_id id, std::string_view line)
{
    const auto found = m_databases.find(id);
    if (found == m_databases.end()) {
        return;
    }
    database_stream &database = found->second;
    std::optional<database_reply> reply = platform::assemble(database.assembler, line);
    if (database.assembler.broken) {
        onDatabaseClosed(id);
        return;
    }
    const bool refused = !database.startupAccepted && database.assembler.reply.code != reply_code::done;
    if (refused) {
        const reply_code code = database.assembler.reply.code;
        database.stream->close();
        m_databases.erase(found);
        onConnectionRefused(m_engine, id, code, now());
    } else if (reply && !database.startupAccepted) {
        database.startupAccepted = true;
        onConnectionOpened(m_engine, id, now());
    } else if (reply) {
        onDatabaseReply(m_engine, id, std::move(*reply), now());
    }
    performActions();
}

void edge_instance::onDatabaseClosed(database_connection_id id)
{
    const auto found = m_databases.find(id);
    if (found == m_databases.end()) {
        return;
    }
    found->second.stream->close();
    m_databases.erase(found);
    onConnectionClosed(m_engine, id, now());
    performActions();
}

void edge_instance::performActions()
{
    if (m_performingActions) {
        return;
    }
    m_performingActions = true;
    while (!m_engine.actions.empty()) {
        std::vector<proxy_action> actions = std::exchange(m_engine.actions, {});
        for (proxy_action &action : actions) {
            std::visit(
                [this](auto &what) {
                    performAction(what);
                },
                action);
        }
    }
    flushStreams();
    m_performingActions = false;
    scheduleEngineTimer();
}

void edge_instance::flushStreams()
{
    for (const std::shared_ptr<line_stream> &stream : std::exchange(m_streamsToFlush, {})) {
        stream->flush();
    }
}

void edge_instance::scheduleEngineTimer()
{
    const std::optional<time_point> due = nextTimer(m_engine);
    if (!due || (m_timerDueAt != time_point{} && m_timerDueAt <= *due)) {
        return;
    }
    m_timerDueAt = *due;
    m_engineTimer.expires_after(std::max(duration{}, *due - now()));
    m_engineTimer.async_wait([this](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        m_timerDueAt = time_point{};
        onTimer(m_engine, now());
        performActions();
    });
}

void edge_instance::performAction(accept_session &action)
{
    const auto found = m_clients.find(action.session);
    if (found != m_clients.end()) {
        platform::encodeSessionAccepted(found->second.stream->out());
        m_streamsToFlush.push_back(found->second.stream);
    }
}

void edge_instance::performAction(close_session &action)
{
    if (const auto channel = m_channelBySession.find(action.session); channel != m_channelBySession.end()) {
        m_relayLinks.closeChannel(channel->second);
        m_sessionByChannel.erase(channel->second);
        m_channelBySession.erase(channel);
        return;
    }
    const auto found = m_clients.find(action.session);
    if (found == m_clients.end()) {
        return;
    }
    const std::shared_ptr<line_stream> stream = found->second.stream;
    m_clients.erase(found);
    if (action.code != reply_code::done) {
        platform::encodeSessionRefused(stream->out(), action.code, action.detail);
    }
    stream->closeAfterFlush();
    if (m_stopping) {
        m_closingStreams.push_back(stream);
    }
}

void edge_instance::performAction(reply_to_client &action)
{
    if (const auto channel = m_channelBySession.find(action.session); channel != m_channelBySession.end()) {
        std::string lines;
        platform::encodeClientReply(lines, action.reply);
        m_relayLinks.reply(channel->second, lines);
        return;
    }
    const auto found = m_clients.find(action.session);
    if (found != m_clients.end()) {
        m_edgeMetrics.recordStatement(action.reply.code, std::chrono::duration<double>(now() - found->second.statementReceivedAt).count());
        platform::encodeClientReply(found->second.stream->out(), action.reply);
        m_streamsToFlush.push_back(found->second.stream);
        if (mayReadFrom(m_engine, action.session)) {
            found->second.stream->resumeReading();
        }
    }
}

void edge_instance::performAction(open_database_connection &action)
{
    const database_connection_id id = action.connection;
    if (action.toHolder) {
        m_holderReplies[id] = {};
        m_relayLinks.open(id, action.address);
        return;
    }
    line_stream::handlers callbacks;
    callbacks.onLine = [this, id](std::string_view line) {
        onDatabaseLine(id, line);
    };
    callbacks.onEnd = [this, id](close_reason) {
        onDatabaseClosed(id);
    };
    auto stream = std::make_shared<line_stream>(asio::ip::tcp::socket(m_context), maxLineBytes, std::move(callbacks));
    m_databases[id] = {stream, {}, action.database, false};
    std::string startupMessage;
    const std::string &caller = action.workspace.value().empty() ? m_environment.instance : action.workspace.value();
    platform::encodeDatabaseStart(startupMessage, action.group, caller, action.database);
    stream->connect(endpointOrUnspecified(action.address), std::move(startupMessage));
}

void edge_instance::performAction(send_commands &action)
{
    if (m_holderReplies.contains(action.connection)) {
        std::string lines;
        for (const database_command &command : action.commands) {
            platform::encodeCommand(lines, command);
        }
        m_relayLinks.send(action.connection, {action.route, action.timeLeft, action.caller, action.served}, lines);
        return;
    }
    const auto found = m_databases.find(action.connection);
    if (found == m_databases.end()) {
        return;
    }
    for (const database_command &command : action.commands) {
        platform::encodeCommand(found->second.stream->out(), command);
    }
    m_streamsToFlush.push_back(found->second.stream);
}

void edge_instance::performAction(close_database_connection &action)
{
    if (m_holderReplies.erase(action.connection) > 0) {
        m_relayLinks.close(action.connection);
        return;
    }
    const auto found = m_databases.find(action.connection);
    if (found != m_databases.end()) {
        found->second.stream->close();
        m_databases.erase(found);
    }
}

void edge_instance::performAction(drop_holder_link &action)
{
    m_relayLinks.dropLink(action.address);
}

void edge_instance::performAction(record_first_write &action)
{
    m_edgeMetrics.recordFirstWrite(action.cause, std::chrono::duration<double>(action.after).count());
}

void edge_instance::performAction(send_limit_message &action)
{
    m_limitLinks.send(action, m_engine.instances, now());
}

void edge_instance::performAction(report_event &action)
{
    m_log.write(action.event, action.fields);
}

void edge_instance::awaitSignals()
{
    m_signals.async_wait([this](const asio::error_code &problem, int signal) {
        if (problem) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else {
            stop();
        }
        awaitSignals();
    });
}

void edge_instance::reload(const char *reason)
{
    m_settingsFingerprint = fileFingerprint(m_settingsPath);
    handleErrors(
        [&]() -> result_of<void> {
            BOOST_LEAF_AUTO(newEnvironment, platform::readSettingsFile(m_settingsPath));
            const bool storeMoved = newEnvironment.storeAddress != m_environment.storeAddress;
            if (newEnvironment.clientAddress != m_environment.clientAddress
                || newEnvironment.readinessAddress != m_environment.readinessAddress) {
                m_log.write("reload_needs_restart", {{"field", "listening addresses"}});
            }
            m_environment = newEnvironment;
            m_engine.settings.regions = newEnvironment.regions;
            m_engine.settings.dataCentre = newEnvironment.dataCentre;
            m_storeFeed.configure(feedSettings());
            if (storeMoved) {
                m_promotionClients.clear();
                m_verificationClients.clear();
                m_storeHistory.forget();
                m_databaseWatch->setStoreAddress(newEnvironment.storeAddress);
                m_configurationWatch->setStoreAddress(newEnvironment.storeAddress);
                m_instanceWatch->setStoreAddress(newEnvironment.storeAddress);
                m_registration.setStoreAddress(newEnvironment.storeAddress);
                m_livenessProbes.setStoreAddress(newEnvironment.storeAddress);
                m_storeFeed.onCopiesInvalid();
            }
            m_log.write("reload", {{"why", reason}, {"store_moved", storeMoved ? "yes" : "no"}});
            return {};
        },
        [&](const error &what) {
            m_log.write("reload_failed", {{"why", what.detail}, {"kept", "the settings before"}});
        });
}

void edge_instance::pollSettingsFile()
{
    m_settingsPollTimer.expires_after(settingsPollInterval);
    m_settingsPollTimer.async_wait([this](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        if (fileFingerprint(m_settingsPath) != m_settingsFingerprint) {
            reload("file changed");
        }
        pollSettingsFile();
    });
}

void edge_instance::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopSince = now();
    m_log.write("stopping", {{"sessions", std::to_string(m_clients.size())}});
    if (!m_environment.relayAddress.empty()) {
        // Also where no group is shared yet: the entry outlives this process, and others may be added.
        m_registration.announceLeaving();
    }
    m_livenessProbes.stop();
    m_storeFeed.onStop();
    onStop(m_engine, m_stopSince);
    performActions();
    checkDrained();
}

void edge_instance::checkDrained()
{
    const duration elapsed = now() - m_stopSince;
    const duration gracePeriod = std::chrono::milliseconds(m_environment.stopGraceMs);
    if (elapsed >= m_engine.settings.statementDrainTimeout && m_acceptor.is_open()) {
        asio::error_code ignored;
        m_acceptor.close(ignored);
    }
    if (elapsed >= gracePeriod * lastAnswersTenths / 10 && !m_engine.exiting) {
        finishStop(m_engine, now());
        performActions();
    }
    std::erase_if(m_closingStreams, [](const std::weak_ptr<line_stream> &stream) {
        return stream.expired();
    });
    const bool finished = m_clients.empty() && m_sessionByChannel.empty() && elapsed >= minAcceptTimeAfterStop;
    const bool drained = finished || m_engine.exiting;
    if (drained && m_refusingSince == time_point{}) {
        // What other instances relay from now on is not run, and they know.
        m_refusingSince = now();
        m_relayLinks.refuseNewChannels();
    }
    const time_point lastRelayed = std::max(m_refusingSince, m_relayLinks.lastRefusedAt());
    const bool quiet = drained && now() - lastRelayed >= relayQuietTime;
    const bool answered = m_closingStreams.empty() && !m_relayLinks.hasUnsentReplies();
    if ((quiet && answered) || elapsed >= gracePeriod * forcedStopHundredths / 100) {
        m_context.stop();
        return;
    }
    m_stopTimer.expires_after(drainPollInterval);
    m_stopTimer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            checkDrained();
        }
    });
}

platform::monitoring_response edge_instance::handleMonitoringRequest(const std::string &path) const
{
    if (path == platform::readinessPath) {
        const bool ready = m_engine.configurationReceived && m_engine.listingReceived && hasDatabases(m_engine) && !m_stopping;
        return {ready ? 200U : 503U, {}};
    }
    if (path == platform::metricsPath) {
        const store_feed::figures feed = m_storeFeed.currentFigures();
        return {200,
                m_edgeMetrics.text(m_engine,
                                   m_clients.size(),
                                   m_log.dropped(),
                                   {m_registration.writes(),
                                    m_livenessProbes.marks(),
                                    m_livenessProbes.removals(),
                                    m_listedAgainAfter,
                                    feed.role,
                                    feed.followers,
                                    feed.age,
                                    feed.requests,
                                    m_incompleteAnswers,
                                    feed.changesNotTold,
                                    feed.unreadable,
                                    m_ignoredDatabases.problems.size() + m_ignoredDatabases.unlogged + m_ignoredInstances.problems.size()
                                        + m_ignoredInstances.unlogged},
                                   now())};
    }
    return {404, {}};
}

} // namespace mustardrouter
