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

/// TCP server of one stand-in database: speaks the users' wire protocol with slots, service times and lost answers.
/// Runs on the thread of its context.
class standin_database
{
public:
    /// Returns the current time on the clock that the group's model uses.
    using clock = std::function<time_point()>;

    standin_database(
        asio::io_context &context, standin_group &group, database_name name, database_observer observer, clock now, std::uint64_t seed);

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
    /// Percentage of answers to clients' statements that are lost, with all later answers on the same connection.
    void setAnswerLoss(unsigned percent);

private:
    struct connection {
        std::uint64_t number = 0;
        std::shared_ptr<line_stream> stream;
        std::deque<std::string> lines;
        asio::steady_timer timer;
        bool started = false;
        bool working = false;
        bool ended = false;
        bool repliesDropped = false;
        bool inTransaction = false;
        bool readWrite = false;
        bool failed = false;
        term_number transactionTerm;
        std::vector<std::string> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared;

        explicit connection(asio::io_context &context)
            : timer(context)
        {
        }
    };
    using connection_ref = std::shared_ptr<connection>;
    /// A parsed QUERY line.
    struct query {
        std::string id;
        std::string verb;
        std::string rest;
        std::string text;
        std::optional<log_entry> floor;
        bool malformed = false;
    };

    standin_member &self();
    const standin_member &self() const;
    void accept();
    void add(asio::ip::tcp::socket socket);
    void processNext(const connection_ref &peer);
    void runInSlot(const connection_ref &peer, bool takesSlot, std::function<void()> then);
    void start(const connection_ref &peer, const std::string &line);
    void execute(const connection_ref &peer, const query &request);
    void runControlStatement(const connection_ref &peer, const query &request);
    /// Error code if a client's statement may not run on the connection, or null.
    const char *refusalOf(const connection &peer, bool writes, bool commits) const;
    void runClientStatement(const connection_ref &peer, const query &request);
    void commit(const connection_ref &peer, const std::string &id, const std::string &answer);
    void acknowledge(const connection_ref &peer, std::size_t index, const std::string &answer);
    void refuse(const connection_ref &peer, const char *code);
    void reply(const connection_ref &peer, const std::string &lines);
    std::string ready(const connection &peer) const;
    std::string statusRow() const;
    void finishStatement(const connection_ref &peer);
    void remove(const connection_ref &peer);
    static query parse(const std::string &line);

    asio::io_context &m_context;
    standin_group &m_group;
    database_name m_name;
    database_observer m_observer;
    clock m_now;
    std::mt19937_64 m_random;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::map<std::uint64_t, connection_ref> m_connections;
    std::deque<std::pair<connection_ref, std::function<void()>>> m_queue;
    std::uint32_t m_busySlots = 0;
    std::uint64_t m_nextConnection = 1;
    unsigned m_percentLost = 0;
};

} // namespace mustardrouter
