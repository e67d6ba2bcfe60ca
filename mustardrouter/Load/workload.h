#pragma once

#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Load/deployment.h"
#include "mustardrouter/Load/history.h"
#include "mustardrouter/Load/load_statistics.h"

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

/// How the statements of one class of work are sent.
struct class_settings {
    std::string service;
    std::chrono::milliseconds deadline{5000};
    std::chrono::milliseconds maxAge{2000};
};

/// Settings of a load.
struct workload_settings {
    /// Service for classes that are not in `classes`.
    std::string service;
    std::vector<std::string> groups;
    std::vector<std::string> entries;
    /// Run one after another; the last one continues until finish().
    std::vector<load::phase> phases;
    std::map<load::work_class, class_settings> classes;
    /// Sends every read to the primary, as a router does that knows no replicas.
    bool primaryOnly = false;
    std::uint64_t seed = 1;
};

/// Open-loop load generator: operations start at instants with exponentially distributed intervals, whether or not
/// earlier ones have ended. Runs on its own thread.
class workload
{
public:
    explicit workload(workload_settings settings);
    ~workload();
    workload(const workload &) = delete;
    workload &operator=(const workload &) = delete;

    void start();
    /// Starts no further operations and waits for those in flight.
    void finish();
    /// What callers observed; complete after finish().
    const history &observedHistory() const;
    /// Complete after finish().
    const load_statistics &statistics() const;
    /// Entries for new connections from now on.
    void setEntries(std::vector<std::string> entries);

private:
    struct operation {
        std::string id;
        std::string group;
        std::string partition;
        std::size_t phase = 0;
        load::work_class workClass = load::ROSTER;
        load_instant intendedAt;
    };

    void scheduleNext();
    void advancePhase();
    load::work_class drawClass();
    const class_settings &settingsOf(load::work_class workClass) const;
    void startOperation(load_instant intendedAt);
    void save(const operation &op);
    void readBack(const operation &op, const std::string &token);
    void browse(const operation &op);
    void insertPair(const operation &op);
    void insertPairRow(const operation &op, const std::shared_ptr<caller_client> &client, std::uint64_t transaction, int part);
    void commitPair(const operation &op, const std::shared_ptr<caller_client> &client, std::uint64_t transaction);
    void recordPair(const operation &op, outcome kind);
    void send(const std::shared_ptr<caller_client> &client,
              const operation &op,
              const wire::statement &statement,
              caller_client::handler onResult);
    void countRead(const wire::result &result);
    wire::statement newStatement(const operation &op, wire::statement_kind kind, std::string sql) const;
    std::shared_ptr<caller_client> pickClient();
    void countOutcome(const wire::result &result);

    workload_settings m_settings;
    asio::io_context m_context;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<caller_client>> m_clients;
    std::mt19937_64 m_random;
    std::vector<std::string> m_partitions;
    class_settings m_defaultClass;
    load_instant m_startedAt;
    load_instant m_nextStartAt;
    std::size_t m_phase = 0;
    load_instant m_phaseEndsAt;
    bool m_finishing = false;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_nextOperation = 1;
    history m_history;
    load_statistics m_statistics;
    std::thread m_thread;
};

/// For each group of a service a partition that maps to it, so that the load can choose the group.
std::vector<std::string> partitionsFor(const std::vector<std::string> &groups);

} // namespace mustardrouter
