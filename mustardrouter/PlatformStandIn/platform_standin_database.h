#pragma once

#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/PlatformStandIn/statement_run.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter
{

/// TCP server of one stand-in database. Implements the platform's line protocol and simulates slots, service times and lost
/// answers.
/// Runs on the thread of its context.
class platform_standin_database
{
public:
    /// Returns the current time on the clock that the group's model uses.
    using now_function = std::function<time_point()>;

    platform_standin_database(asio::io_context &context,
                              standin_group &group,
                              database_name name,
                              database_observer observer,
                              now_function now,
                              std::uint64_t seed);

    /// Listens on a free port the first time and on the same port after that; false if that fails.
    bool listen();
    /// IP:PORT.
    std::string address() const;
    /// Resets all connections and stops listening.
    void crash();
    /// Resets all connections.
    void resetConnections();
    /// Continues with pending requests after the database was unresponsive.
    void resumeProcessing();
    /// Sets the probability in percent that the answer to a client's statement is dropped; once one is, all later replies on its
    /// connection are dropped too.
    void setAnswerLoss(unsigned percent);

private:
    struct connection {
        std::uint64_t number = 0;
        std::shared_ptr<line_stream> stream;
        /// Who connected, as told at its start.
        std::string caller;
        std::deque<std::string> pendingLines;
        asio::steady_timer timer;
        bool startupDone = false;
        bool processing = false;
        bool ended = false;
        bool repliesDropped = false;
        bool inTransaction = false;
        bool readWrite = false;
        bool transactionFailed = false;
        term_number transactionTerm;
        std::vector<std::string> transactionWriteIds;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared;

        explicit connection(asio::io_context &context)
            : timer(context)
        {
        }
    };
    using connection_ref = std::shared_ptr<connection>;
    /// A statement or a start that waits for a slot.
    struct queued_run {
        connection_ref connection;
        duration extraWork{};
        std::function<void()> then;
    };
    /// A parsed QUERY line.
    struct query {
        std::string id;
        std::string verb;
        std::string arguments;
        std::string statementText;
        std::optional<log_entry> floor;
        bool malformed = false;
    };

    standin_member &self();
    const standin_member &self() const;
    void accept();
    void add(asio::ip::tcp::socket socket);
    void processNext(const connection_ref &connection);
    void runInSlot(const connection_ref &connection, bool takesSlot, duration extraWork, std::function<void()> then);
    void handleStartup(const connection_ref &connection, const std::string &line);
    void execute(const connection_ref &connection, const query &request);
    void runControlStatement(const connection_ref &connection, const query &request);
    /// Error code if a client's statement may not run on the connection, or null.
    const char *refusalOf(const connection &connection, bool writes, bool commits) const;
    void runClientStatement(const connection_ref &connection, const query &request);
    void commit(const connection_ref &connection, const std::string &id, const std::string &answer);
    void replyWhenReplicated(const connection_ref &connection, std::size_t index, const std::string &answer);
    void refuse(const connection_ref &connection, const char *code);
    void reply(const connection_ref &connection, const std::string &lines);
    std::string readyLine(const connection &connection) const;
    std::string statusRow() const;
    void finishStatement(const connection_ref &connection);
    void remove(const connection_ref &connection);
    static query parse(const std::string &line);

    asio::io_context &m_context;
    standin_group &m_group;
    database_name m_name;
    database_observer m_observer;
    now_function m_now;
    std::mt19937_64 m_random;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::map<std::uint64_t, connection_ref> m_connections;
    std::deque<queued_run> m_queue;
    std::uint32_t m_busySlots = 0;
    std::uint64_t m_nextConnection = 1;
    unsigned m_percentLost = 0;
};

} // namespace mustardrouter
