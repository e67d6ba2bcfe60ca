#include "mustardrouter/Soak/soak_run.h"

#include "mustardrouter/PlatformStandIn/delayed_call.h"
#include "mustardrouter/Soak/route_probe.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tickInterval = 50ms;
constexpr std::uint64_t ticksPerProbe = 20;
/// Share of connections made regardless of readiness, as happens when most instances of a data centre are not ready.
constexpr unsigned percentToAnyInstance = 15;
/// The same where only planned work is played: enough that instances still get statements when they have to exit.
constexpr unsigned percentToAnyInPlannedWork = 50;
constexpr std::uint64_t ticksPerRouteProbe = 6;
/// Bounds of the users' deployments (SYSTEM.md): time until instances count as stable, until a configuration is in effect
/// and until a process has stopped; memory and descriptors of an instance.
constexpr duration stableWindow = 5000ms;
constexpr duration configurationDelay = 4000ms;
constexpr duration downgradeWindow = 2000ms;
/// Age of the oldest copy from which the stand-in's store returns, and some time until the operator writes again.
constexpr duration oldestCopy = 13s;
constexpr duration gracePeriod = 6000ms;
constexpr duration disconnectSlack = 200ms;
constexpr std::uint64_t memoryLimit = 182ULL << 20;
constexpr std::size_t descriptorLimit = 3010;
/// Exits are polled and may be seen late by this much.
constexpr duration exitSlack = 500ms;
/// Lowest share of operations served in a quiet phase, and lowest number of operations.
constexpr double minServedShare = 0.9;
constexpr std::size_t minQuietOperations = 20;
/// Delay before a process that ended is started again.
constexpr duration restartDelay = 400ms;
constexpr unsigned stopTries = 160;
/// Two instances that watch and one that follows.
constexpr unsigned smallestFeed = 3;

const char *const dataCentres[] = {"dc-a", "dc-b", "dc-c"};

std::int64_t toMillis(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

soak_run::soak_run(soak_settings settings)
    : m_settings(std::move(settings))
    , m_plan(makePlan(m_settings.seed, m_settings.length))
    , m_random(m_settings.seed)
    , m_timer(m_context)
    , m_deployment(
          m_context,
          m_history,
          [this] {
              return now();
          },
          [this](std::size_t instance, const std::string &address) {
              return m_instances.at(instance)->relayTo(address).address();
          },
          m_settings.seed + 1,
          variantOf(m_settings.seed))
    , m_injector(m_deployment, m_instances, [this] {
        return now();
    })
{
}

time_point soak_run::now() const
{
    timespec value{};
    ::clock_gettime(CLOCK_MONOTONIC, &value);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

bool soak_run::start()
{
    constexpr std::size_t minInstances = 3;
    constexpr std::size_t instanceSpread = 4;
    const std::size_t count = m_settings.instances > 0 ? m_settings.instances : minInstances + m_random() % instanceSpread;
    for (std::size_t index = 0; index < count; ++index) {
        soak_instance::launch_options options;
        options.program = m_settings.program;
        options.folder = m_settings.folder;
        options.name = "instance-" + std::to_string(index + 1);
        const bool passedOn = variantOf(m_settings.seed).changesArePassedOn;
        options.dataCentre = dataCentres[passedOn ? 0 : index % std::size(dataCentres)];
        options.feedMinInstances = passedOn ? smallestFeed : 0;
        options.linkMegabits = variantOf(m_settings.seed).configurationIsLarge ? narrowLinkMegabits : 0;
        options.store = m_deployment.store().addInstance();
        options.hasWorkspaces = m_deployment.workspaces() != nullptr;
        options.promotionsAreFenced = !variantOf(m_settings.seed).replacedPrimariesContinue;
        m_instances.push_back(std::make_unique<soak_instance>(m_context, std::move(options)));
    }
    if (soak_workspaces *workspaces = m_deployment.workspaces()) {
        workspaces->start(count * m_settings.clientsPerInstance, [this](time_point sentAt) {
            return oldestVersionAt(sentAt);
        });
    }
    if (!m_deployment.start(1 + m_random() % 2, count)) {
        return false;
    }
    return std::ranges::all_of(m_instances, [this](const auto &instance) {
        return instance->start(true, now());
    });
}

time_point soak_run::oldestVersionAt(time_point sentAt) const
{
    const auto round = std::ranges::find_if(m_plan.rounds, [&](const soak_round &one) {
        return sentAt < m_runStartedAt + one.end;
    });
    if (round == m_plan.rounds.end() || sentAt >= m_runStartedAt + round->quietFrom + stableWindow) {
        return sentAt - configurationDelay;
    }
    // Before that an instance may be out of touch, and the store may return from a copy as old as it keeps them.
    return m_runStartedAt + round->faultsFrom - oldestCopy - configurationDelay;
}

soak_report soak_run::run()
{
    m_runStartedAt = now();
    {
        std::ofstream plan(m_settings.folder + "/plan.txt");
        plan << describe(m_plan);
    }
    if (!start()) {
        return {{"the soak itself: could not open a port or start a process"}, {}};
    }
    addClients();
    playFaults();
    for (const soak_round &round : m_plan.rounds) {
        for (const duration at : {round.quietFrom + stableWindow, round.quietFrom + stableWindow + configurationDelay + 900ms}) {
            callLater(m_context, at + 50ms, [this, round] {
                checkConfiguration(round);
            });
        }
        callLater(m_context, round.end - 10ms, [this, round] {
            checkQuietPhase(round);
        });
    }
    callLater(m_context, m_plan.length, [this] {
        stopAll();
    });
    tick();
    m_context.run();
    if (variantOf(m_settings.seed).plannedWorkOnly) {
        checkPlannedWork();
    }
    return {m_history.violations(), summary()};
}

std::size_t soak_run::chooseInstance()
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index]->ready) {
            ready.push_back(index);
        }
    }
    // The platform forwards to all instances if fewer than half are in rotation; where nothing else disturbs, this reaches those that stop.
    const bool fewReady = variantOf(m_settings.seed).plannedWorkOnly && 2 * ready.size() < m_instances.size();
    const unsigned percentAnywhere = variantOf(m_settings.seed).plannedWorkOnly ? percentToAnyInPlannedWork : percentToAnyInstance;
    const bool anywhere = ready.empty() || fewReady || m_random() % 100 < percentAnywhere;
    return anywhere ? m_random() % m_instances.size() : ready[m_random() % ready.size()];
}

void soak_run::addClients()
{
    soak_client::client_environment environment;
    environment.context = &m_context;
    environment.history = &m_history;
    environment.tally = &m_tally;
    environment.routes = &m_deployment.routes();
    environment.workspaces = m_deployment.workspaces();
    environment.now = [this] {
        return now();
    };
    environment.chooseInstance = [this] {
        return chooseInstance();
    };
    environment.addressOf = [this](std::size_t index) {
        return m_instances[index]->clientAddress();
    };
    for (std::size_t index = 0; index < m_instances.size() * m_settings.clientsPerInstance; ++index) {
        m_clients.push_back(std::make_shared<soak_client>(environment, index, m_random()));
        callLater(m_context, 1200ms + duration(static_cast<std::int64_t>(m_random() % 800'000)), [client = m_clients.back()] {
            client->start();
        });
    }
}

void soak_run::playFaults()
{
    for (std::size_t index = 0; index < m_plan.faults.size(); ++index) {
        if (!m_settings.chosenFaults.empty() && !m_settings.chosenFaults.contains(index)) {
            continue;
        }
        const planned_fault &fault = m_plan.faults[index];
        callLater(m_context, fault.at, [this, index, &fault] {
            std::function<void()> end = m_injector.begin(fault);
            if (!end) {
                return;
            }
            m_openFaults[index] = std::move(end);
            callLater(m_context, fault.length, [this, index] {
                m_openFaults.at(index)();
                m_openFaults.erase(index);
            });
        });
    }
}

void soak_run::tick()
{
    const bool probes = m_ticks % ticksPerProbe == 0;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        soak_instance &instance = *m_instances[index];
        checkProcess(instance);
        if (probes && !m_stopping) {
            instance.probeReadiness();
            checkResources(instance, "instance-" + std::to_string(index + 1));
        }
    }
    if (m_ticks % ticksPerRouteProbe == 0 && !m_stopping) {
        probeNewestRoute();
    }
    m_ticks += 1;
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            tick();
        }
    });
}

void soak_run::checkProcess(soak_instance &instance)
{
    if (const std::optional<int> status = instance.process->takeExitStatus()) {
        recordExit(instance, *status);
    }
    const bool isLate = instance.process->isRunning() && instance.stopRequestedAt != time_point{} && !instance.disturbed
                        && now() - instance.stopRequestedAt > gracePeriod + exitSlack;
    if (isLate) {
        m_history.reportViolation("EXIT: an instance still runs " + std::to_string((now() - instance.stopRequestedAt).count() / 1000)
                                  + " ms after the request to stop");
        instance.process->signal(SIGKILL);
        instance.disturbed = true;
    }
    const bool startsAgain = instance.restartAt != time_point{} && now() >= instance.restartAt && !instance.process->isRunning();
    if (startsAgain && !m_stopping) {
        instance.start(false, now());
    }
}

void soak_run::recordExit(soak_instance &instance, int status)
{
    instance.ready = false;
    const bool stopped = instance.stopRequestedAt != time_point{};
    const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!instance.disturbed && !(stopped && clean)) {
        std::ostringstream text;
        text << "EXIT: an instance ended " << (stopped ? "badly after the request to stop" : "by itself") << ", wait status " << status;
        m_history.reportViolation(text.str());
    }
    if (instance.restartAt == time_point{}) {
        instance.restartAt = now() + restartDelay;
    }
}

void soak_run::checkResources(const soak_instance &instance, const std::string &name)
{
    const std::uint64_t memory = instance.process->memoryBytes();
    const std::size_t descriptors = instance.process->descriptors();
    m_mostMemory = std::max(m_mostMemory, memory);
    m_mostDescriptors = std::max(m_mostDescriptors, descriptors);
    if (memory > memoryLimit) {
        m_history.reportViolation("MEMORY: " + name + " uses more than " + std::to_string(memoryLimit >> 20) + " MiB");
    }
    if (descriptors > descriptorLimit) {
        m_history.reportViolation("DESCRIPTORS: " + name + " has more than " + std::to_string(descriptorLimit) + " open");
    }
}

void soak_run::probeNewestRoute()
{
    soak_instance &instance = *m_instances[m_random() % m_instances.size()];
    if (!instance.process->isRunning() || instance.paused) {
        return;
    }
    const published_version newest = m_deployment.versions().back();
    const time_point requestedAt = now();
    const unsigned startCount = instance.starts;
    probeRoute(m_context,
               instance.directAddress(),
               newest.addedRoute,
               [this, &instance, newest, requestedAt, startCount](std::optional<reply_code> code) {
                   if (!code || instance.starts != startCount) {
                       return;
                   }
                   const bool seen = *code == reply_code::done;
                   if (seen && newest.version > instance.seenVersion) {
                       instance.seenVersion = newest.version;
                       instance.seenAt = now();
                       return;
                   }
                   const bool replacedSince = m_deployment.versions().back().version != newest.version;
                   const bool backwards = *code == reply_code::unknownDatabase && instance.seenVersion >= newest.version
                                          && requestedAt > instance.seenAt + downgradeWindow;
                   if (backwards && !replacedSince) {
                       m_history.reportViolation("CONFIG: an instance went back to a version before " + std::to_string(newest.version));
                   }
               });
}

void soak_run::checkConfiguration(const soak_round &round)
{
    const published_version newest = m_deployment.versions().back();
    // The two spans run at the same time: a configuration may be published before the instances are stable.
    const time_point due = std::max(m_runStartedAt + round.quietFrom + stableWindow, newest.at + configurationDelay);
    if (now() < due) {
        return;
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        soak_instance &instance = *m_instances[index];
        if (!instance.process->isRunning() || instance.stopRequestedAt != time_point{}) {
            continue;
        }
        if (variantOf(m_settings.seed).plannedWorkOnly && now() < instance.startedAt + configurationDelay) {
            // Long statements let a stop take its whole grace period, so that the process may have only just started again.
            continue;
        }
        const std::string name = "instance-" + std::to_string(index + 1);
        const auto check = [this, name, newest, startCount = instance.starts, &instance](const std::string &route, reply_code expected) {
            probeRoute(m_context, instance.directAddress(), route, [=, this, &instance](std::optional<reply_code> code) {
                const bool same = instance.starts == startCount && instance.stopRequestedAt == time_point{};
                if (same && code != expected) {
                    std::string text = "CONFIG: " + name + " answers ";
                    text += code ? toString(*code) : "nothing";
                    text += " for " + route + " of version " + std::to_string(newest.version);
                    m_history.reportViolation(text);
                }
            });
        };
        check(newest.addedRoute, reply_code::done);
        // The first version removes none.
        if (!newest.removedRoute.empty()) {
            check(newest.removedRoute, reply_code::unknownDatabase);
        }
    }
}

void soak_run::checkQuietPhase(const soak_round &round)
{
    const time_point from = m_runStartedAt + round.quietFrom + stableWindow;
    const time_point to = m_runStartedAt + round.end;
    std::size_t begun = 0;
    std::size_t served = 0;
    for (const operation_result &operation : m_tally.operations) {
        if (operation.owed && operation.startedAt >= from && operation.startedAt < to) {
            begun += 1;
            served += operation.served ? 1 : 0;
        }
    }
    const auto at = std::chrono::duration_cast<std::chrono::seconds>(round.quietFrom).count();
    const double share = begun == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(begun);
    m_quietSummary +=
        "quiet phase from " + std::to_string(at) + " s: " + std::to_string(served) + " of " + std::to_string(begun) + " served\n";
    if (begun < minQuietOperations || share < minServedShare) {
        m_history.reportViolation("BACK: in the quiet phase from " + std::to_string(at) + " s on, " + std::to_string(served) + " of "
                                  + std::to_string(begun) + " operations were served");
    }
    for (const unfinished_statement &cut : m_tally.disconnected) {
        const bool counts = cut.sentAt >= from && cut.sentAt < to;
        if (counts && (m_history.hasRun(cut.id) || cut.endedAt - cut.sentAt > disconnectSlack)) {
            m_history.reportViolation("CUT: " + cut.id + " on instance-" + std::to_string(cut.instance + 1)
                                      + " was disconnected before its answer");
        }
    }
    for (const unfinished_statement &statement : m_tally.unanswered) {
        if (statement.sentAt >= from && statement.sentAt < to) {
            m_history.reportViolation("SILENT: " + statement.id + " on instance-" + std::to_string(statement.instance + 1)
                                      + " has no answer");
        }
    }
    for (const late_run &late : m_history.lateRuns()) {
        if (late.announcedAt >= from && late.ranAt < to) {
            m_history.reportViolation(late.violation);
        }
    }
}

void soak_run::checkPlannedWork()
{
    const time_point from = m_runStartedAt + m_plan.rounds.front().faultsFrom;
    for (const unfinished_statement &cut : m_tally.disconnected) {
        const duration taken = cut.endedAt - cut.sentAt;
        const bool counts = cut.sentAt >= from && taken < longRouteTimeout;
        if (counts && (m_history.wasReceived(cut.id) || taken > disconnectSlack)) {
            m_history.reportViolation("LOST: " + cut.id + " on instance-" + std::to_string(cut.instance + 1) + " was cut off after "
                                      + std::to_string(toMillis(taken)) + " ms");
        }
    }
    for (const unfinished_statement &statement : m_tally.unanswered) {
        if (statement.sentAt >= from) {
            m_history.reportViolation("LOST: " + statement.id + " on instance-" + std::to_string(statement.instance + 1)
                                      + " has no answer");
        }
    }
    for (const refused_read &read : m_tally.refusedReads) {
        const auto &stops = m_instances[read.instance]->stops;
        const bool lateInStop = std::ranges::any_of(stops, [&](time_point stop) {
            return read.sentAt > stop + gracePeriod / 2 && read.sentAt <= stop + gracePeriod;
        });
        const std::optional<time_point> ranAt = m_history.firstRunAt(read.id);
        const bool ranInTime = ranAt && *ranAt + disconnectSlack < read.sentAt + longRouteTimeout;
        if (read.sentAt >= from && !lateInStop && ranInTime && m_deployment.extraWorkOf(read.id) > duration{}) {
            m_history.reportViolation("LONG: " + read.id + " ran for " + std::to_string(toMillis(m_deployment.extraWorkOf(read.id)))
                                      + " ms and was answered with " + read.code);
        }
    }
}

void soak_run::stopAll()
{
    m_stopping = true;
    for (const auto &client : m_clients) {
        client->stop();
    }
    constexpr duration clientsEnd = 300ms;
    callLater(m_context, clientsEnd, [this] {
        for (const auto &instance : m_instances) {
            instance->stop(now());
        }
        waitUntilStopped(stopTries);
    });
}

void soak_run::waitUntilStopped(unsigned tries)
{
    const bool anyRunning = std::ranges::any_of(m_instances, [](const auto &instance) {
        return instance->process->isRunning();
    });
    if (!anyRunning || tries == 0) {
        m_context.stop();
        return;
    }
    callLater(m_context, tickInterval, [this, tries] {
        waitUntilStopped(tries - 1);
    });
}

std::string soak_run::summary() const
{
    std::ostringstream text;
    text << m_instances.size() << " instances, " << m_deployment.leaving().size() << " databases left, " << m_plan.faults.size()
         << " faults planned, " << m_deployment.versions().size() << " versions\n"
         << m_history.statementCount() << " statements sent, " << m_history.runCount() << " run, " << m_history.commitCount()
         << " commits; answers:";
    for (const auto &[code, count] : m_tally.answers) {
        text << ' ' << code << ' ' << count;
    }
    text << "; cut " << m_tally.disconnected.size() << ", unanswered " << m_tally.unanswered.size() << "\n"
         << m_quietSummary << "most memory " << (m_mostMemory >> 20) << " MiB, most descriptors " << m_mostDescriptors << '\n';
    return text.str();
}

} // namespace mustardrouter
