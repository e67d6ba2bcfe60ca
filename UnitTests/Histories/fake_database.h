#pragma once

#include "fake_network.h"
#include "scenario.h"

#include "mustardrouter/Ownership/database_report.h"
#include "mustardrouter/Routing/engine_action.h"
#include "mustardrouter/Routing/engine_event.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// Log entry of a fake database with the rows that it added.
struct fake_record {
    log_entry entry;
    std::vector<std::string> rows;
    request_key key;
};

/// Database side of a connection for statements.
struct fake_connection {
    connection_id id;
    channel_ptr toDatabase;
    channel_ptr toInstance;
    std::function<void(const engine_event &)> deliver;
    bool accepted = false;
    bool closed = false;
    term_number term;
    bool inTransaction = false;
    std::vector<std::string> transactionRows;
};

using connection_ptr = std::shared_ptr<fake_connection>;

/// Database side of a control connection.
struct fake_control {
    endpoint_index instance = 0;
    channel_ptr toDatabase;
    channel_ptr toInstance;
    std::function<void(const database_reported &)> deliver;
    std::uint64_t round = 0;
    bool closed = false;
};

using control_ptr = std::shared_ptr<fake_control>;

/// Simulated database with a term, a log, asynchronous replication and a single writer at a time.
/// Rows are strings: "w ROW" adds a row, "r TAG" returns all rows after the tag.
class fake_database
{
public:
    fake_database(endpoint_index index, event_queue &queue, fake_network &network, std::mt19937 &random, defect injected);

    void connect(std::vector<fake_database *> others);

    /// Executes an order of the ownership module.
    void onOrder(const control_ptr &from, const ownership_action &order);
    void onOpen(const connection_ptr &from, term_number term);
    void onStatement(const connection_ptr &from, const run_statement &statement);
    void onClose(const connection_ptr &from);

    void crash();
    void restart();
    void resetReplication();

    const database_name &name() const
    {
        return m_name;
    }
    endpoint_index index() const
    {
        return m_index;
    }

    bool up = true;
    term_number term;
    database_role role = database_role::fenced;
    std::vector<fake_record> log;
    std::size_t applied = 0;
    bool inSync = false;
    /// Extra network delay of replicated entries.
    duration replicationDelay{};
    /// Time from receiving an entry until reads see it.
    duration applyLag{};
    std::vector<control_ptr> controls;
    std::vector<connection_ptr> connections;

private:
    struct follower {
        fake_database *replica;
        channel_ptr channel;
        std::uint64_t stream;
        std::size_t next;
    };

    log_entry lastEntry() const;
    database_report report(std::uint64_t round) const;
    void pushReports();
    void sendReport(const control_ptr &to);
    void adoptTerm(term_number newTerm);
    void promote(term_number newTerm);
    void follow(term_number newTerm, const database_name &primary);
    void startReplication();
    void onReplicate(fake_database *replica, std::uint64_t stream, const std::vector<log_entry> &theirs);
    void sendTo(follower &to);
    void onTruncate(std::uint64_t stream, std::size_t keep);
    void onRecord(std::uint64_t stream, const fake_record &record);
    log_entry append(std::vector<std::string> rows, const request_key &key);
    std::string visibleRows(std::size_t records, const fake_connection &to) const;
    bool hasKey(const request_key &key) const;
    log_position positionOf(const request_key &key) const;
    void execute(const connection_ptr &from, const run_statement &statement);
    void executeWriter(const connection_ptr &from, const run_statement &statement, statement_answered &answer);
    void answer(const connection_ptr &to, const statement_answered &answer);
    void releaseWriter();

    database_name m_name;
    endpoint_index m_index;
    event_queue &m_queue;
    fake_network &m_network;
    std::mt19937 &m_random;
    defect m_defect;
    std::vector<fake_database *> m_others;
    fake_database *m_primary = nullptr;
    std::vector<follower> m_followers;
    std::uint64_t m_stream = 0;
    std::uint64_t m_incarnation = 0;
    connection_ptr m_writer;
    std::vector<std::pair<connection_ptr, run_statement>> m_waiting;
    bool m_reportScheduled = false;
};

} // namespace mustardrouter::histories
