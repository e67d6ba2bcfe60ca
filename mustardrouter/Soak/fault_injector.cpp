#include "mustardrouter/Soak/fault_injector.h"

#include <csignal>
#include <iterator>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t percent = 100;

/// Sets a field of the relays; the function returned resets it to its default.
template<typename Value>
std::function<void()> setForAll(const std::vector<fault_relay *> &relays, Value relay_faults::*field, Value value)
{
    for (fault_relay *relay : relays) {
        relay->faults().*field = value;
    }
    return [relays, field] {
        for (fault_relay *relay : relays) {
            relay->faults().*field = Value{};
        }
    };
}

} // namespace

fault_injector::fault_injector(soak_deployment &deployment, std::vector<std::unique_ptr<soak_instance>> &instances, now_function now)
    : m_deployment(deployment)
    , m_instances(instances)
    , m_now(std::move(now))
{
}

std::function<void()> fault_injector::begin(const planned_fault &fault)
{
    switch (fault.kind) {
    case soak_fault::linkDelay:
    case soak_fault::linkReset:
    case soak_fault::linkHoldRequests:
    case soak_fault::linkHoldAnswers:
    case soak_fault::linkSilence:
    case soak_fault::linkTrickle:
    case soak_fault::linkRefuse:
    case soak_fault::primaryCutFromSome:
        return injectConnectionFault(fault);
    case soak_fault::instanceStop:
    case soak_fault::instanceKill:
    case soak_fault::instancePause:
    case soak_fault::allInstancesKill:
    case soak_fault::settingsReload:
    case soak_fault::settingsBroken:
        return injectInstanceFault(fault);
    case soak_fault::storeDown:
    case soak_fault::storeSlow:
    case soak_fault::storeRefuses:
    case soak_fault::storeLosesAnswers:
    case soak_fault::storeLateWrites:
    case soak_fault::storeForgets:
    case soak_fault::storeReturnsFromCopy:
    case soak_fault::ordersLate:
    case soak_fault::ordersRefused:
    case soak_fault::configurationChange:
        return injectStoreFault(fault);
    case soak_fault::keysWithdrawn:
    case soak_fault::keyAdded:
    case soak_fault::keyMoved:
    case soak_fault::limitLowered:
    case soak_fault::limitRaised:
        m_deployment.workspaces()->change(fault, m_now());
        m_deployment.publishConfiguration();
        return {};
    case soak_fault::workspaceBusy:
        m_deployment.workspaces()->beginBusy(fault.target);
        return [this, target = fault.target] {
            m_deployment.workspaces()->endBusy(target, m_now());
        };
    default:
        return injectDatabaseFault(fault);
    }
}

std::vector<fault_relay *> fault_injector::chooseRelays(const planned_fault &fault)
{
    if (fault.kind == soak_fault::primaryCutFromSome) {
        const auto &groups = m_deployment.groups();
        const standin_member *primary = primaryOf(*groups[fault.target % groups.size()]);
        std::vector<fault_relay *> relays;
        for (std::size_t index = fault.variant % 2; primary != nullptr && index < m_instances.size(); index += 2) {
            relays.push_back(&m_instances[index]->relayTo(primary->address));
        }
        return relays;
    }
    soak_instance &instance = *m_instances[fault.target % m_instances.size()];
    // Connections to choose from: clients, the store, one database, all databases, all of one instance, all of all instances.
    constexpr std::uint32_t choices = 6;
    switch (fault.variant % choices) {
    case 0:
        return {&instance.clients};
    case 1:
        return {&instance.store};
    case 2: {
        const std::vector<fault_relay *> all = instance.databaseRelays();
        return all.empty() ? all : std::vector{all[fault.variant / choices % all.size()]};
    }
    case 3:
        return instance.databaseRelays();
    case 4:
        return instance.allRelays();
    default: {
        std::vector<fault_relay *> relays;
        for (const auto &one : m_instances) {
            const std::vector<fault_relay *> all = one->allRelays();
            relays.insert(relays.end(), all.begin(), all.end());
        }
        return relays;
    }
    }
}

std::function<void()> fault_injector::injectConnectionFault(const planned_fault &fault)
{
    const std::vector<fault_relay *> relays = chooseRelays(fault);
    constexpr std::uint32_t delaySpread = 200;
    switch (fault.kind) {
    case soak_fault::linkDelay:
        return setForAll(relays, &relay_faults::delay, std::chrono::milliseconds(1 + fault.variant % delaySpread));
    case soak_fault::linkHoldRequests:
        return setForAll(relays, &relay_faults::holdsRequests, true);
    case soak_fault::linkHoldAnswers:
        return setForAll(relays, &relay_faults::holdsAnswers, true);
    case soak_fault::linkTrickle:
        return setForAll(relays, &relay_faults::trickles, true);
    case soak_fault::primaryCutFromSome: {
        auto requests = setForAll(relays, &relay_faults::holdsRequests, true);
        auto answers = setForAll(relays, &relay_faults::holdsAnswers, true);
        return [requests, answers] {
            requests();
            answers();
        };
    }
    case soak_fault::linkRefuse:
        for (fault_relay *relay : relays) {
            relay->resetAll();
        }
        return setForAll(relays, &relay_faults::refuses, true);
    case soak_fault::linkReset:
        for (fault_relay *relay : relays) {
            relay->resetAll();
        }
        return {};
    default:
        for (fault_relay *relay : relays) {
            relay->blackholeAll();
        }
        return {};
    }
}

void fault_injector::stopInstance(const planned_fault &fault)
{
    if (!m_deployment.variant().plannedWorkOnly) {
        m_instances[fault.target % m_instances.size()]->stop(m_now());
        return;
    }
    // Planned work leaves a process that has only just started alone: the next one that is ready is stopped.
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        soak_instance &instance = *m_instances[(fault.target + index) % m_instances.size()];
        if (instance.ready && instance.stopRequestedAt == time_point{}) {
            instance.stop(m_now());
            return;
        }
    }
}

void fault_injector::killInstance(soak_instance &instance, duration startsAfter)
{
    instance.disturbed = true;
    instance.restartAt = m_now() + startsAfter;
    instance.process->signal(SIGKILL);
}

std::function<void()> fault_injector::injectInstanceFault(const planned_fault &fault)
{
    soak_instance &instance = *m_instances[fault.target % m_instances.size()];
    switch (fault.kind) {
    case soak_fault::instanceStop:
        stopInstance(fault);
        return {};
    case soak_fault::instanceKill:
        killInstance(instance, std::min<duration>(fault.length, 2s));
        return {};
    case soak_fault::allInstancesKill:
        for (const auto &one : m_instances) {
            killInstance(*one, std::min<duration>(fault.length, 2s));
        }
        return {};
    case soak_fault::instancePause:
        instance.process->signal(SIGSTOP);
        instance.disturbed = true;
        instance.paused = true;
        return [&instance] {
            instance.process->signal(SIGCONT);
            instance.paused = false;
        };
    case soak_fault::settingsReload:
        instance.writeSettings(false);
        instance.process->signal(SIGHUP);
        return {};
    default:
        instance.writeSettings(true);
        if (fault.variant % 2 == 0) {
            instance.process->signal(SIGHUP);
        }
        return [&instance] {
            instance.writeSettings(false);
            instance.process->signal(SIGHUP);
        };
    }
}

std::function<void()> fault_injector::injectStoreFault(const planned_fault &fault)
{
    standin_store &store = m_deployment.store();
    constexpr store_failure failures[] = {store_failure::silent, store_failure::reset, store_failure::busy, store_failure::tooMany};
    const store_failure failure = failures[fault.variant % std::size(failures)];
    switch (fault.kind) {
    case soak_fault::storeDown:
        store.faults().down = failure;
        if (failure == store_failure::reset) {
            store.disconnectWatches();
        }
        return [this, loses = fault.variant / std::size(failures) % 2 == 0] {
            m_deployment.store().faults().down = store_failure::none;
            if (loses) {
                m_deployment.dropEntries();
            }
            m_deployment.store().notifyWatches();
        };
    case soak_fault::storeSlow:
        store.faults().extraDelay = std::chrono::milliseconds(50 + fault.variant);
        return [&store] {
            store.faults().extraDelay = std::chrono::milliseconds(0);
        };
    case soak_fault::storeRefuses:
        for (std::size_t index = fault.target % 2; index < m_instances.size(); index += 2) {
            store.faults().refusedInstances.insert(index);
        }
        store.faults().refusal = failure;
        return [&store] {
            store.faults().refusedInstances.clear();
            store.notifyWatches();
        };
    case soak_fault::storeLosesAnswers:
    case soak_fault::storeLateWrites:
        store.faults().percentAnswersLost = fault.variant % percent;
        store.faults().writesLate = fault.kind == soak_fault::storeLateWrites;
        return [&store] {
            store.faults().percentAnswersLost = 0;
        };
    case soak_fault::storeForgets:
        store.objects().dropHistory();
        store.disconnectWatches();
        return {};
    case soak_fault::storeReturnsFromCopy: {
        constexpr std::uint32_t minAgeMillis = 500;
        constexpr std::uint32_t ageSpreadMillis = 9500;
        const duration age = std::chrono::milliseconds(minAgeMillis + fault.variant * 7919 % ageSpreadMillis);
        store.faults().down = failure;
        return [this, age] {
            m_deployment.store().faults().down = store_failure::none;
            m_deployment.returnStoreFromCopy(age);
        };
    }
    case soak_fault::ordersLate:
        store.faults().percentOrdersDelayed = fault.variant % percent;
        return [&store] {
            store.faults().percentOrdersDelayed = 0;
        };
    case soak_fault::ordersRefused:
        store.faults().refusesOrders = true;
        return [&store] {
            store.faults().refusesOrders = false;
        };
    default:
        if (store.faults().down == store_failure::none) {
            m_deployment.publishConfiguration();
        }
        return {};
    }
}

std::function<void()> fault_injector::injectDatabaseFault(const planned_fault &fault)
{
    auto &groups = m_deployment.groups();
    standin_group &group = *groups[fault.target % groups.size()];
    const auto found = std::next(group.members.begin(), fault.variant % static_cast<std::uint32_t>(group.members.size()));
    standin_member &member = found->second;
    const database_name name = found->first;
    switch (fault.kind) {
    case soak_fault::databaseDark:
        m_deployment.makeUnresponsive(group, name);
        return [this, &group, name] {
            m_deployment.makeResponsive(group, name);
        };
    case soak_fault::databaseCrash:
    case soak_fault::databaseReborn: {
        if (!member.running || member.leaving) {
            return {};
        }
        m_deployment.crash(group, name);
        // With synchronous replicas the log may hold the only replicated copy of an acknowledged commit, so it must be kept.
        const bool forgets = fault.kind == soak_fault::databaseReborn && !member.primary && group.syncReplicas == 0;
        return [this, &group, name, forgets] {
            if (forgets && !group.members.at(name).primary) {
                clearState(group.members.at(name));
            }
            m_deployment.restart(group, name);
        };
    }
    case soak_fault::databaseLeaves:
        m_deployment.leave(group, name);
        return {};
    case soak_fault::databaseReset:
        m_deployment.databaseOf(name).resetConnections();
        return {};
    case soak_fault::replicaLag:
        member.lag = std::chrono::milliseconds(100 + fault.variant * 4);
        return [&member] {
            member.lag = 10ms;
        };
    case soak_fault::replicaDeaf:
        member.replicationBlocked = true;
        return [&member] {
            member.replicationBlocked = false;
        };
    case soak_fault::answersLost: {
        constexpr unsigned maxPercentLost = 40;
        platform_standin_database &database = m_deployment.databaseOf(name);
        database.setAnswerLoss(1 + fault.variant % maxPercentLost);
        return [&database] {
            database.setAnswerLoss(0);
        };
    }
    default:
        group.replicasDisconnected = true;
        return [&group] {
            group.replicasDisconnected = false;
        };
    }
}

} // namespace mustardrouter
