#include "review/standin-2/world.h"

#include "mustardrouter/PlatformStandIn/delayed_call.h"
#include "mustardrouter/PlatformStandIn/standin_documents.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <string_view>
#include <utility>

namespace mustardrouter::review
{

namespace
{

const char *const zones[] = {"dc-a", "dc-b", "dc-c"};

} // namespace

world::world(world_options options)
    : m_options(std::move(options))
    , m_startedAt(now())
    , m_random(m_options.seed)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_probeTimer(m_context)
    , m_front(m_context, &world::now)
    , m_deployment(
          m_context,
          m_history,
          [] {
              return now();
          },
          [this](std::size_t machineIndex, const std::string &address) {
              return m_options.databaseFor ? m_options.databaseFor(machineIndex, address) : address;
          },
          m_options.seed,
          soak_variant{})
    , m_record(m_options.record)
{
    m_signals.async_wait([this](const asio::error_code &problem, int) {
        m_interrupted = !problem;
        m_context.stop();
    });
}

time_point world::now()
{
    timespec value{};
    ::clock_gettime(CLOCK_MONOTONIC, &value);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

bool world::start()
{
    if (!m_deployment.start(1, m_options.machines)) {
        return false;
    }
    m_front.remember(m_deployment.store());
    standin_group &only = group();
    only.slots = 3;
    only.connections = m_options.connections;
    only.syncReplicas = 0;
    m_deployment.publishConfiguration();
    for (std::size_t index = 0; index < m_options.machines; ++index) {
        const std::string zone = zones[index % std::size(zones)];
        const std::string name = "edge-" + zone + "-" + std::to_string(index / std::size(zones) + 1);
        m_machines.push_back(std::make_unique<machine>(m_context, optionsOf(name, zone, true)));
    }
    const bool started = std::ranges::all_of(m_machines, [](const auto &one) {
        return one->start();
    });
    probeMachines();
    return started;
}

machine::options world::optionsOf(const std::string &name, const std::string &zone, bool isFirstSystemStart)
{
    const std::string store = m_front.listenFor(m_deployment.store().addInstance());
    return {m_options.program, m_options.folder, name, zone, store, store, isFirstSystemStart};
}

machine &world::addMachine(const std::string &name, const std::string &zone)
{
    m_machines.push_back(std::make_unique<machine>(m_context, optionsOf(name, zone, false)));
    m_machines.back()->start();
    return *m_machines.back();
}

void world::probeMachines()
{
    for (const auto &one : m_machines) {
        one->probe();
    }
    m_probeTimer.expires_after(std::chrono::seconds(1));
    m_probeTimer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            probeMachines();
        }
    });
}

std::size_t world::chooseMachine()
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> present;
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
        if (m_machines[index]->isReady()) {
            ready.push_back(index);
        }
        if (!m_machines[index]->gone) {
            present.push_back(index);
        }
    }
    const std::vector<std::size_t> &from = ready.empty() ? present : ready;
    return from[m_random() % from.size()];
}

void world::startClients()
{
    soak_client::client_environment environment;
    environment.context = &m_context;
    environment.history = &m_history;
    environment.tally = &m_tally;
    environment.routes = &m_deployment.routes();
    environment.now = [] {
        return now();
    };
    environment.chooseInstance = [this] {
        return chooseMachine();
    };
    environment.addressOf = [this](std::size_t index) {
        return m_machines[index]->clientAddress();
    };
    for (std::size_t index = 0; index < m_options.clients; ++index) {
        m_clients.push_back(std::make_shared<soak_client>(environment, index, m_random()));
        m_clients.back()->start();
    }
}

bool world::runUntil(duration length)
{
    m_context.run_for(std::max(duration{}, length - elapsed()));
    return !m_interrupted;
}

void world::stop()
{
    for (const auto &one : m_machines) {
        one->powerOff();
    }
}

machine &world::machineAt(std::size_t index)
{
    return *m_machines.at(index);
}

std::vector<std::unique_ptr<machine>> &world::machines()
{
    return m_machines;
}

standin_group &world::group()
{
    return *m_deployment.groups().front();
}

standin_member *world::primary()
{
    return primaryOf(group());
}

store_front &world::front()
{
    return m_front;
}

soak_deployment &world::deployment()
{
    return m_deployment;
}

soak_history &world::history()
{
    return m_history;
}

soak_tally &world::tally()
{
    return m_tally;
}

asio::io_context &world::context()
{
    return m_context;
}

void world::changeEntry(const std::string &database)
{
    Json::Value entry = entryOf(group(), group().members.at(database_name(database)));
    entry["warmup_left_ms"] = 100;
    m_deployment.store().objects().put("servers", database, entry);
    m_deployment.store().notifyWatches();
}

void world::at(duration when, std::function<void()> what)
{
    callLater(m_context, std::max(duration{}, when - elapsed()), std::move(what));
}

duration world::elapsed() const
{
    return now() - m_startedAt;
}

void world::record(const std::string &line)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed()).count();
    m_record << millis << " ms  " << line << std::endl;
}

std::pair<double, std::size_t> world::servedBetween(duration from, duration to) const
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const operation_result &operation : m_tally.operations) {
        const duration begun = operation.startedAt - m_startedAt;
        if (begun < from || begun >= to) {
            continue;
        }
        all += 1;
        served += operation.served ? 1 : 0;
    }
    return {all == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(all), all};
}

bool playsTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace mustardrouter::review
