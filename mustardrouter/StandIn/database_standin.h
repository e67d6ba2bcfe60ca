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

/// Small stand-in for one database of a group: SQL in SQLite, one statement a connection, slots,
/// a connection limit and cost, a log with terms, and asynchronous replication with lag. It runs
/// on a thread of its own; the public calls may come from any thread.
class database_standin
{
public:
    explicit database_standin(const objects::database_settings &settings);
    ~database_standin();
    database_standin(const database_standin &) = delete;
    database_standin &operator=(const database_standin &) = delete;

    /// Starts serving; false when the address cannot be had.
    bool start();
    void stop();
    /// "IP:PORT" that is served.
    const std::string &address() const;
    const std::string &name() const;

    /// Ends all connections and refuses new ones, as a dead process does; the log is kept.
    void kill();
    /// Serves again after kill().
    void restart();
    /// Stops answering without closing anything, as a partition or a paused process does.
    void setFrozen(bool frozen);
    /// Delay between the primary's append and this replica's receipt, and on to its reads.
    void setLag(std::chrono::microseconds replication, std::chrono::microseconds apply);
    /// Asks for no new work in its reports.
    void setLeaving(bool leaving);
    /// Leaves the oldest statement connection without answers for good.
    void silenceOneConnection();

    /// What the log holds, for checkers.
    database_log logCopy();
    /// Runs a read on the committed data, for checkers.
    wire::result query(const std::string &sql);
    /// Most statement connections that were ever open at once.
    std::size_t mostConnections();
    /// Statement connections refused because the limit was reached.
    std::size_t refusedConnections();

private:
    using clock = std::chrono::steady_clock;

    /// A connection of an owner for orders, for statements, or of a replica.
    struct session {
        std::shared_ptr<frame_connection> connection;
        bool statementConnection = false;
        bool controlConnection = false;
        bool unresponsive = false;
        std::uint64_t term = 0;
        std::uint64_t round = 0;
        /// Set on a replica's connection: the next position to send.
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
