#pragma once

#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Network/frame_listener.h"
#include "mustardrouter/Schema/objects.pb.h"
#include "mustardrouter/Schema/wire.pb.h"
#include "mustardrouter/StandIn/database_log.h"
#include "mustardrouter/StandIn/sql_store.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mustardrouter
{

/// Small stand-in for one database of a group: SQL in SQLite, one statement at a time per connection, slots, connection
/// limit and cost, a log with terms, and asynchronous replication with lag. Runs on its own thread; the public member
/// functions are thread-safe.
class database_standin
{
public:
    explicit database_standin(const objects::database_settings &settings);
    ~database_standin();
    database_standin(const database_standin &) = delete;
    database_standin &operator=(const database_standin &) = delete;

    /// Starts serving; false when it cannot listen on the address.
    bool start();
    void stop();
    /// Listening address as "IP:PORT".
    const std::string &address() const;
    const std::string &name() const;

    /// Closes all connections and refuses new ones, as after the death of the process. The log is kept.
    void kill();
    /// Serves again after kill().
    void restart();
    /// While frozen, no connection is closed and nothing is answered, as in a network partition or a stopped process.
    void setFrozen(bool frozen);
    /// Sets the delay from the primary's append to this replica's receipt (`replication`), and from there until this
    /// replica's reads see the entry (`apply`).
    void setLag(std::chrono::microseconds replication, std::chrono::microseconds apply);
    /// Announces in the reports that this database is leaving, so that it gets no new work.
    void setLeaving(bool leaving);
    /// Makes one statement connection unresponsive for the rest of its life.
    void silenceOneConnection();

    /// Copy of the log, for checkers.
    database_log logCopy();
    /// Applies the whole log and runs a read on it, for checkers.
    wire::result query(const std::string &sql);
    /// Highest number of statement connections that were open at the same time.
    std::size_t mostConnections();
    /// Statement connections refused because the limit was reached.
    std::size_t refusedConnections();

private:
    using clock = std::chrono::steady_clock;

    /// An accepted connection: of an owner, for orders or for statements, or of a replica.
    struct session {
        std::shared_ptr<frame_connection> connection;
        bool statementConnection = false;
        bool controlConnection = false;
        bool unresponsive = false;
        std::uint64_t term = 0;
        std::uint64_t round = 0;
        /// Only for a replica's connection: the next position to send.
        std::optional<std::uint64_t> nextReplicaPosition;
        bool inTransaction = false;
        std::vector<std::string> transactionStatements;
        request_key transactionKey;
    };
    using session_ptr = std::shared_ptr<session>;

    struct waiting_write {
        session_ptr from;
        wire::database_statement statement;
    };

    void runOnThread(const std::function<void()> &work);
    void listen();
    void onAccept(const std::shared_ptr<frame_connection> &connection);
    void onFrame(const session_ptr &from, std::string_view payload);
    void onClose(const session_ptr &from);
    void runAfter(std::chrono::microseconds delay, std::function<void()> work);
    void reply(const session_ptr &to, const wire::database_message &message);

    void onOpen(const session_ptr &from, std::uint64_t term);
    void completeOpen(const session_ptr &from, std::uint64_t term);
    void onOrder(const session_ptr &from, const wire::database_order &order);
    void fence(std::uint64_t term);
    void promote(std::uint64_t term);
    void follow(std::uint64_t term, const std::string &primaryAddress);
    void adoptTerm(std::uint64_t term);
    wire::database_report report(std::uint64_t round) const;
    void pushReports();

    void onStatement(const session_ptr &from, const wire::database_statement &statement);
    void execute(const session_ptr &from, const wire::database_statement &statement);
    void executeOnWriter(const session_ptr &from, const wire::database_statement &statement, wire::database_answer &answer);
    void executeCommit(const session_ptr &from, wire::database_answer &answer);
    bool needsWriter(const session_ptr &from, const wire::database_statement &statement) const;
    void finishStatement(const session_ptr &from, wire::database_answer answer);
    void rollbackWriter();
    void releaseWriter();
    log_entry append(std::vector<std::string> statements, const request_key &key);

    void connectToPrimary();
    void onReplicate(const session_ptr &from, const wire::replicate_request &request);
    void sendToReplica(const session_ptr &replica);
    void onBatch(const wire::replicate_batch &batch);
    void applyUpTo(std::uint64_t position);
    void rebuild();

    objects::database_settings m_settings;
    std::string m_address;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    std::unique_ptr<frame_listener> m_listener;
    std::unique_ptr<sql_store> m_store;
    std::thread m_thread;

    database_log m_log;
    std::uint64_t m_term = 0;
    wire::database_role m_role = wire::ROLE_FENCED;
    std::uint64_t m_appliedPosition = 0;
    bool m_inSync = false;
    bool m_leaving = false;
    bool m_frozen = false;
    bool m_down = false;
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_runningStatements = 0;
    std::size_t m_openConnections = 0;
    std::size_t m_maxOpenConnections = 0;
    std::size_t m_refusedConnections = 0;
    bool m_reportScheduled = false;
    session_ptr m_writerSession;
    std::deque<waiting_write> m_waitingWrites;
    std::set<session_ptr> m_sessions;
    std::vector<std::function<void()>> m_deferredWhileFrozen;

    std::string m_primaryAddress;
    std::shared_ptr<frame_connection> m_primaryConnection;
};

} // namespace mustardrouter
