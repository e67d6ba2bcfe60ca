#pragma once

#include "mustardrouter/Soak/fault_injector.h"
#include "mustardrouter/Soak/fault_plan.h"
#include "mustardrouter/Soak/soak_client.h"
#include "mustardrouter/Soak/soak_deployment.h"
#include "mustardrouter/Soak/soak_history.h"
#include "mustardrouter/Soak/soak_instance.h"
#include "mustardrouter/Soak/soak_tally.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Settings of a soak.
struct soak_settings {
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(25);
    /// Drawn from the seed if zero.
    std::size_t instances = 0;
    std::size_t clientsPerInstance = 4;
    /// Executable to run as `edge`, and the folder for settings, logs and the plan.
    std::string program;
    std::string folder;
    /// Numbers of the plan's faults to inject; all if empty.
    std::set<std::size_t> chosenFaults;
};

/// Result of a soak: violated guarantees and a summary.
struct soak_report {
    std::vector<std::string> violations;
    std::string summary;
};

/// Runs one soak: instances as processes; stand-ins of the platform, clients and a plan of faults on one thread.
class soak_run
{
public:
    explicit soak_run(soak_settings settings);

    /// Runs the plan and checks what clients and databases saw.
    soak_report run();

private:
    time_point now() const;
    bool start();
    void addClients();
    void playFaults();
    void tick();
    void checkProcess(soak_instance &instance);
    void recordExit(soak_instance &instance, int status);
    void checkResources(const soak_instance &instance, const std::string &name);
    void probeNewestRoute();
    void checkConfiguration(const soak_round &round);
    void checkQuietPhase(const soak_round &round);
    void checkPlannedWork();
    void stopAll();
    void waitUntilStopped(unsigned tries);
    void finish();
    std::size_t chooseInstance();
    std::string summary() const;
    /// The oldest instant whose version may still be in force for what is sent at an instant.
    time_point oldestVersionAt(time_point sentAt) const;

    soak_settings m_settings;
    soak_plan m_plan;
    std::mt19937_64 m_random;
    time_point m_runStartedAt{};
    asio::io_context m_context;
    asio::steady_timer m_timer;
    soak_history m_history;
    soak_tally m_tally;
    std::vector<std::unique_ptr<soak_instance>> m_instances;
    soak_deployment m_deployment;
    fault_injector m_injector;
    std::vector<std::shared_ptr<soak_client>> m_clients;
    std::map<std::size_t, std::function<void()>> m_openFaults;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_mostMemory = 0;
    std::size_t m_mostDescriptors = 0;
    bool m_stopping = false;
    std::string m_quietSummary;
};

} // namespace mustardrouter
