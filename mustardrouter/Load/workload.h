#pragma once

#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Load/deployment.h"
#include "mustardrouter/Load/history.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mustardrouter
{

/// Shape of the demo's load.
struct workload_settings {
    std::string service;
    std::vector<std::string> groups;
    std::vector<std::string> entries;
    /// Operations started a second, whether or not earlier ones have ended.
    double operationsPerSecond = 200;
    std::uint64_t seed = 1;
};

/// Open-loop load: saves that are read back through another entry, transactions of two rows, and
/// reads that accept data of a stated age. Runs on a thread of its own.
class workload
{
public:
    explicit workload(workload_settings settings);
    ~workload();
    workload(const workload &) = delete;
    workload &operator=(const workload &) = delete;

    void start();
    /// Starts no more operations and waits for those in flight.
    void finish();
    /// What was seen; complete after finish().
    const history &seen() const;
    /// Latencies of all statements in milliseconds, from their intended start.
    const std::vector<double> &latencies() const;

private:
    struct operation {
        std::string id;
        std::string group;
        std::string partition;
        load_instant intended;
    };

    void scheduleNext();
    void startOperation(load_instant intended);
    void save(const operation &what);
    void readBack(const operation &what, const std::string &token);
    void browse(const operation &what);
    void bookPair(const operation &what);
    void insertPart(const operation &what, const std::shared_ptr<caller_client> &client, std::uint64_t transaction, int part);
    void commitPair(const operation &what, const std::shared_ptr<caller_client> &client, std::uint64_t transaction);
    void endPair(const operation &what, outcome kind);
    void send(const std::shared_ptr<caller_client> &client,
              const operation &what,
              const wire::statement &statement,
              caller_client::handler onResult);
    wire::statement newStatement(const operation &what, wire::statement_kind kind, std::string sql) const;
    std::shared_ptr<caller_client> anyClient();
    void countOutcome(const wire::result &result);

    workload_settings m_settings;
    asio::io_context m_context;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<caller_client>> m_clients;
    std::mt19937_64 m_random;
    load_instant m_next;
    bool m_finishing = false;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_nextOperation = 1;
    history m_seen;
    std::vector<double> m_latencies;
    std::thread m_thread;
};

/// A partition for each group of a service, so that a load can choose its group.
std::vector<std::string> partitionsFor(const std::vector<std::string> &groups);

} // namespace mustardrouter
