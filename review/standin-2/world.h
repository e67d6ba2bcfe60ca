#pragma once

#include "mustardrouter/Soak/soak_client.h"
#include "mustardrouter/Soak/soak_deployment.h"
#include "mustardrouter/Soak/soak_history.h"
#include "mustardrouter/Soak/soak_tally.h"
#include "review/standin-2/machine.h"
#include "review/standin-2/store_front.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter::review
{

/// Outcome of a case, as its script returns it.
enum class verdict : int { held = 0, broken = 1, notRun = 2 };

struct world_options {
    std::string program;
    /// For settings and logs of the machines.
    std::string folder;
    std::string record;
    std::size_t machines = 3;
    std::size_t clients = 12;
    /// Connections that each database accepts.
    std::uint32_t connections = 45;
    double processorShare = 0.17;
    unsigned memoryMegabytes = 182;
    std::uint64_t seed = 1;
    /// Address at which a machine reaches a database; the same one if not set.
    std::function<std::string(std::size_t, const std::string &)> databaseFor;
};

/// A small deployment on loopback: one service of three databases, the platform's store, clients, and machines as processes.
class world
{
public:
    explicit world(world_options options);

    /// Starts the stand-ins and the first machines; false if a port or a process is not to be had.
    bool start();
    void startClients();
    /// Runs for the rest of `length` from the start on; false if a signal ended it before.
    bool runUntil(duration length);
    void stop();

    /// Adds a machine that replaces another; it starts at once.
    machine &addMachine(const std::string &name, const std::string &zone);
    machine &machineAt(std::size_t index);
    std::vector<std::unique_ptr<machine>> &machines();
    standin_group &group();
    standin_member *primary();
    soak_deployment &deployment();
    store_front &front();
    soak_history &history();
    soak_tally &tally();
    asio::io_context &context();
    /// Changes the entry of a database, as it does while the database warms up; it is written as before 80 ms later at most.
    void changeEntry(const std::string &database);
    void at(duration when, std::function<void()> what);
    static time_point now();
    /// Time since the start.
    duration elapsed() const;
    void record(const std::string &line);
    /// Share of the operations begun in the interval that were served, and their number.
    std::pair<double, std::size_t> servedBetween(duration from, duration to) const;

private:
    machine::options optionsOf(const std::string &name, const std::string &zone, bool isFirstSystemStart);
    void probeMachines();
    std::size_t chooseMachine();

    world_options m_options;
    time_point m_startedAt{};
    std::mt19937_64 m_random;
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_probeTimer;
    store_front m_front;
    soak_history m_history;
    soak_tally m_tally;
    std::vector<std::unique_ptr<machine>> m_machines;
    soak_deployment m_deployment;
    std::vector<std::shared_ptr<soak_client>> m_clients;
    std::ofstream m_record;
    bool m_interrupted = false;
};

/// Value of the variable TROUBLE: whether the disruption is to be played.
bool playsTrouble();

} // namespace mustardrouter::review
