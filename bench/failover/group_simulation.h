#pragma once

#include "mustardrouter/Ownership/group_ownership.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Delays of a deployment, as simulated for the platform, the databases and the callers.
struct simulated_delays {
    duration dataCentreDelay{1500};
    duration callerDelay{3000};
    duration connectionCost{10000};
    duration statement{1000};
    duration replication{2000};
    duration platformAnswer{3000};
    /// Time between two writes of the caller.
    duration writeInterval{2000};
    /// Share of database answers that are slow, and the mean of their exponential extra delay.
    double slowShare = 0;
    duration slowMean{100000};
};

/// Instants of the stages of one failover; the epoch for stages that were not reached.
struct failover_times {
    time_point lastDone{};
    time_point failed{};
    time_point detected{};
    time_point fenced{};
    time_point promoted{};
    time_point firstDone{};
};

/// One group in virtual time: an owner, two deputies, three databases, the platform and a caller that
/// writes at a fixed interval. Runs the real ownership module in a simulated environment.
class group_simulation
{
public:
    group_simulation(simulated_delays delays, ownership_settings settings, std::uint64_t seed);

    /// Runs the events of the next `span`.
    void runFor(duration span);
    /// Runs until a write is done after the last fault; false if `recoveryTimeout` expires first.
    bool runUntilDone(duration recoveryTimeout);

    /// Closes the primary's connections and refuses new ones.
    void killPrimary();
    /// Makes the primary unresponsive on existing and on new connections.
    void silencePrimary();
    /// Closes the owner's control connection to the primary once; a new connection succeeds.
    void breakPrimaryConnection();
    void killOwner();
    void setPlatformDown(bool down);
    /// Removes all faults and restarts instances that were killed.
    void repair();

    const failover_times &times() const;
    /// Number of terms that have ended since the start.
    std::uint64_t endedTerms() const;
    /// For each write done, the time from the primary's answer to its confirmation by replicas.
    const std::vector<duration> &confirmationTimes() const;

private:
    static constexpr std::size_t instanceCount = 3;
    static constexpr std::size_t databaseCount = 3;

    enum class fault : std::uint8_t { none, killed, silent };

    struct simulated_database {
        database_name name;
        fault state = fault::none;
        term_number term;
        database_role role = database_role::fenced;
        log_entry last;
        bool inSync = false;
        std::optional<std::size_t> primary;
        std::vector<log_entry> log;
        /// Answers are not sent before this instant, which keeps them in order as on one connection.
        time_point nextAnswerAt{};
        std::uint64_t connectionGeneration = 0;
    };

    struct simulated_instance {
        std::unique_ptr<group_ownership> ownership;
        bool alive = true;
        std::uint64_t incarnation = 0;
    };

    struct pending_event {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> work;
    };
    struct fires_later {
        bool operator()(const pending_event &a, const pending_event &b) const;
    };

    struct running_write {
        log_position position;
        time_point answeredAt{};
    };

    void schedule(duration delay, std::function<void()> work);
    duration jittered(duration base);
    /// Draws the extra delay of an answer; zero for most answers.
    duration answerDelay();
    void startInstance(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    void deliver(std::size_t index, const ownership_event &event);
    void apply(std::size_t index, const ownership_action &action);
    void sendOrder(std::size_t from, const database_name &to, std::function<void(simulated_database &)> effect, std::uint64_t round);
    void sendReport(std::size_t to, std::size_t database, std::uint64_t round);
    void pushReports(std::size_t database);
    void fence(simulated_database &database, term_number term);
    void promote(simulated_database &database, term_number term);
    void follow(simulated_database &database, term_number term, const database_name &primary);
    void replicate(std::size_t from);
    void receive(std::size_t replica, std::size_t from, const std::vector<log_entry> &log, term_number term);
    void answerPlatform(std::size_t to, const ownership_action &action);
    void writeNext(std::size_t owner, term_number term);
    void recordStages(std::size_t index);
    void confirmWrites(std::size_t index);
    std::size_t indexOf(const database_name &name) const;

    simulated_delays m_delays;
    ownership_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<simulated_database> m_databases;
    std::vector<simulated_instance> m_instances;
    ownership_record m_record;
    bool m_platformDown = false;
    std::priority_queue<pending_event, std::vector<pending_event>, fires_later> m_events;
    std::uint64_t m_nextOrder = 0;
    time_point m_now{std::chrono::seconds(1)};
    std::optional<std::size_t> m_serving;
    std::vector<running_write> m_writes;
    std::vector<duration> m_confirmations;
    std::uint64_t m_endedTerms = 0;
    failover_times m_times;
};

} // namespace mustardrouter
