#include "mustardrouter/Soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <random>
#include <sstream>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

/// Time for instances to start and clients to connect.
constexpr duration startupTime = 2500ms;
constexpr duration faultPhaseLength = 8s;
/// Long enough for planned work to complete: 5 s until instances count as stable, 7 s for a leaving database, and some
/// time to check that requests are served again (bounds of the users' deployments).
constexpr duration quietPhaseLength = 14s;
/// Delay of planned work from the start of the quiet phase.
constexpr duration plannedWorkDelay = 5500ms;
/// Delay of a change that is published while instances may still recover from the faults. It has to be in effect as soon as
/// instances count as stable.
constexpr duration earlyChangeDelay = 500ms;
constexpr std::uint32_t minFaults = 2;
constexpr std::uint32_t faultSpread = 5;
constexpr duration minFaultLength = 200ms;
constexpr std::uint32_t percentRepeated = 25;
constexpr std::uint32_t percentFollowed = 25;
/// Changes of workspaces in the faults that come while instances can't read them.
constexpr std::uint32_t percentHidden = 50;
constexpr std::uint32_t percent = 100;
/// Lower seeds keep the plans that once failed.
constexpr std::uint64_t firstSeedWithStoreLosses = 10'000;
constexpr std::uint64_t firstSeedWithPausedStops = 20'000;
/// Seeds below it play workspaces, down to this one; the odd ones with store losses.
constexpr std::uint64_t firstSeedWithWorkspaces = 5'000;
constexpr std::uint64_t firstSeedWithPlannedWorkOnly = 40'000;
constexpr std::uint64_t firstSeedWithOldEntries = 60'000;
constexpr std::uint64_t firstSeedWithRouteMoves = 70'000;
/// Between two moves of a route.
constexpr duration minMoveInterval = 300ms;
constexpr std::size_t moveIntervalSpread = 1'200'000;
/// Databases whose lag changes then, and its range: 1.1 to 2.3 s.
constexpr std::uint32_t laggingTargets = 12;
constexpr std::uint32_t minLagVariant = 250;
constexpr std::size_t lagVariantSpread = 300;

constexpr std::array<std::string_view, static_cast<std::size_t>(soak_fault::count)> names{
    "link delay",
    "link reset",
    "link holds requests",
    "link holds answers",
    "link silent for good",
    "link trickles",
    "link refuses",
    "instance stop",
    "instance kill",
    "instance pause",
    "all instances killed",
    "settings reload",
    "settings broken",
    "store down",
    "store slow",
    "store refuses some",
    "store loses answers",
    "store writes late",
    "store forgets",
    "orders late",
    "database dark",
    "database crash",
    "database reborn",
    "database leaves",
    "database reset",
    "replica lag",
    "replica deaf",
    "answers lost",
    "primary cut from replicas",
    "primary cut from some",
    "configuration change",
    "store returns from an older copy",
    "keys withdrawn",
    "key added",
    "key moved",
    "limit lowered",
    "limit raised",
    "workspace busy",
    "orders refused",
};

class plan_builder
{
public:
    explicit plan_builder(std::uint64_t seed)
        : m_random(seed)
        , m_lossRandom(seed + 1)
        , m_stopRandom(seed + 2)
        , m_workspaceRandom(seed + 3)
    {
    }

    void addFaults(soak_plan &plan, const soak_round &round)
    {
        const std::uint32_t count = minFaults + draw(faultSpread);
        for (std::uint32_t index = 0; index < count; ++index) {
            planned_fault fault = drawFault(round);
            plan.faults.push_back(fault);
            if (draw(percent) < percentRepeated) {
                // The same fault again, up to a second later.
                fault.at = std::min(fault.at + duration(draw(1'000'000)), round.quietFrom - minFaultLength);
                fault.length = std::min(fault.length, round.quietFrom - fault.at);
                plan.faults.push_back(fault);
            }
            if (draw(percent) < percentFollowed) {
                planned_fault next = drawFault(round);
                next.at = std::min(fault.at + fault.length, round.quietFrom - minFaultLength);
                next.length = std::min(next.length, round.quietFrom - next.at);
                plan.faults.push_back(next);
            }
        }
    }

    /// Adds returns of the store from an older copy, in most rounds one, in some two in a row.
    void addStoreLosses(soak_plan &plan, const soak_round &round)
    {
        constexpr std::uint64_t percentWithout = 20;
        constexpr std::uint64_t outageSpreadMicros = 2'800'000;
        duration at = round.faultsFrom + duration(m_lossRandom() % 4'000'000);
        for (std::uint64_t left = m_lossRandom() % percent < percentWithout ? 0 : 1 + m_lossRandom() % 2; left > 0; --left) {
            planned_fault loss;
            loss.kind = soak_fault::storeReturnsFromCopy;
            loss.at = at;
            loss.length = std::min(minFaultLength + duration(m_lossRandom() % outageSpreadMicros), round.quietFrom - at);
            loss.variant = static_cast<std::uint32_t>(m_lossRandom() % 1000);
            plan.faults.push_back(loss);
            addAfterStoreLoss(plan, round, loss);
            at = std::min(at + loss.length + duration(m_lossRandom() % 1'000'000), round.quietFrom - minFaultLength);
        }
    }

    /// Adds instances that are to stop and stand still soon after, while others relay to them.
    void addPausedStops(soak_plan &plan, const soak_round &round)
    {
        constexpr std::uint64_t pauseSpreadMicros = 1'500'000;
        // Idle sessions are closed from 300 ms after the request to stop on.
        constexpr std::uint64_t delaySpreadMicros = 600'000;
        const auto span = static_cast<std::uint64_t>((round.quietFrom - round.faultsFrom).count());
        for (std::uint32_t left = 4; left > 0; --left) {
            planned_fault stop;
            stop.kind = soak_fault::instanceStop;
            stop.at = round.faultsFrom
                      + duration(m_stopRandom() % (span - delaySpreadMicros - static_cast<std::uint64_t>(minFaultLength.count())));
            stop.length = minFaultLength;
            stop.target = static_cast<std::uint32_t>(m_stopRandom() % 1000);
            planned_fault pause = stop;
            pause.kind = soak_fault::instancePause;
            pause.at += duration(m_stopRandom() % delaySpreadMicros);
            pause.length = std::min(minFaultLength + duration(m_stopRandom() % pauseSpreadMicros), round.quietFrom - pause.at);
            plan.faults.push_back(stop);
            plan.faults.push_back(pause);
        }
    }

    /// Adds instances that are to stop one after the other, or several at almost the same time.
    void addStopsInSeries(soak_plan &plan, const soak_round &round)
    {
        constexpr std::uint64_t stopsAtOnce = 4;
        constexpr std::uint64_t gapAtOnceMicros = 300'000;
        constexpr std::uint64_t gapMicros = 1'500'000;
        constexpr duration pauseAfterSeveral = 3s;
        const bool several = m_stopRandom() % 2 == 0;
        planned_fault stop;
        stop.kind = soak_fault::instanceStop;
        stop.at = round.faultsFrom;
        stop.length = minFaultLength;
        stop.target = static_cast<std::uint32_t>(m_stopRandom() % 1000);
        for (std::uint64_t count = 1; stop.at + stop.length <= round.quietFrom; ++count) {
            plan.faults.push_back(stop);
            stop.target += 1;
            stop.at += minFaultLength + duration(m_stopRandom() % (several ? gapAtOnceMicros : gapMicros));
            stop.at += several && count % stopsAtOnce == 0 ? pauseAfterSeveral : duration{};
        }
    }

    /// Adds a time in which promotion orders are refused, most of it while a database leaves.
    void addRefusedOrders(soak_plan &plan, const soak_round &round)
    {
        constexpr std::uint64_t startSpreadMicros = 2'000'000;
        planned_fault refusal;
        refusal.kind = soak_fault::ordersRefused;
        refusal.at = round.faultsFrom + duration(m_stopRandom() % startSpreadMicros);
        refusal.length = round.quietFrom - refusal.at;
        plan.faults.push_back(refusal);
        planned_fault leaving = refusal;
        leaving.kind = soak_fault::databaseLeaves;
        leaving.at += duration(m_stopRandom() % startSpreadMicros);
        leaving.target = static_cast<std::uint32_t>(m_stopRandom() % 1000);
        leaving.variant = static_cast<std::uint32_t>(m_stopRandom() % 1000);
        plan.faults.push_back(leaving);
    }

    /// Changes after the return, of which half of the instances learn late.
    void addAfterStoreLoss(soak_plan &plan, const soak_round &round, const planned_fault &loss)
    {
        planned_fault refusal = loss;
        refusal.kind = soak_fault::storeRefuses;
        refusal.length = std::min(loss.length + duration(m_lossRandom() % 3'000'000), round.quietFrom - loss.at);
        refusal.target = static_cast<std::uint32_t>(m_lossRandom() % 2);
        plan.faults.push_back(refusal);
        for (std::uint64_t left = m_lossRandom() % 4; left > 0; --left) {
            planned_fault change;
            change.kind = soak_fault::configurationChange;
            change.at = std::min(loss.at + loss.length + duration(m_lossRandom() % 1'000'000), round.quietFrom - minFaultLength);
            change.length = minFaultLength;
            plan.faults.push_back(change);
        }
    }

    /// Adds changes of keys and limits to the faults, most while instances can't read them, and to the planned work of the quiet
    /// phase; some of the latter so early that they have to be in effect as soon as instances count as stable.
    void addWorkspaceChanges(soak_plan &plan, const soak_round &round)
    {
        constexpr std::array<soak_fault, 6> kinds{soak_fault::keysWithdrawn,
                                                  soak_fault::limitLowered,
                                                  soak_fault::keyAdded,
                                                  soak_fault::keyMoved,
                                                  soak_fault::limitRaised,
                                                  soak_fault::workspaceBusy};
        constexpr std::array<soak_fault, 4> hiding{
            soak_fault::storeDown, soak_fault::storeRefuses, soak_fault::linkHoldAnswers, soak_fault::allInstancesKill};
        for (const soak_fault kind : kinds) {
            planned_fault hides = drawWorkspaceFault(round, hiding[m_workspaceRandom() % hiding.size()]);
            planned_fault change = hides;
            change.kind = kind;
            change.at = std::min(hides.at + duration(m_workspaceRandom() % 500'000), round.quietFrom - minFaultLength);
            change.length = std::min(hides.length, round.quietFrom - change.at);
            if (m_workspaceRandom() % percent < percentHidden) {
                plan.faults.push_back(hides);
            }
            plan.faults.push_back(change);
            if (kind == soak_fault::limitLowered && m_workspaceRandom() % 2 == 0) {
                change.kind = soak_fault::limitRaised;
                addQuietChange(plan, round, change, earlyChangeDelay);
            }
        }
        constexpr std::array<soak_fault, 5> quietKinds{
            soak_fault::limitLowered, soak_fault::keysWithdrawn, soak_fault::keysWithdrawn, soak_fault::keyMoved, soak_fault::keyAdded};
        for (const soak_fault kind : quietKinds) {
            addQuietChange(
                plan, round, drawWorkspaceFault(round, kind), m_workspaceRandom() % 2 == 0 ? earlyChangeDelay : plannedWorkDelay);
        }
    }

    /// Versions in quick succession, each of which moves routes, while replicas lag and some instances are cut off the store.
    void addRouteMoves(soak_plan &plan, const soak_round &round)
    {
        planned_fault fault;
        fault.at = round.faultsFrom;
        fault.length = round.quietFrom - round.faultsFrom;
        fault.kind = soak_fault::replicaLag;
        for (fault.target = 0; fault.target < laggingTargets; ++fault.target) {
            fault.variant = minLagVariant + draw(lagVariantSpread);
            plan.faults.push_back(fault);
        }
        fault.kind = soak_fault::storeRefuses;
        fault.at += duration(draw(4'000'000));
        fault.length = minFaultLength + duration(draw(3'000'000));
        fault.target = draw(1000);
        fault.variant = draw(1000);
        plan.faults.push_back(fault);
        fault.kind = soak_fault::configurationChange;
        fault.length = minFaultLength;
        fault.at = round.faultsFrom;
        while (fault.at + fault.length <= round.quietFrom) {
            plan.faults.push_back(fault);
            fault.at += minMoveInterval + duration(draw(moveIntervalSpread));
        }
    }

    void addPlannedWork(soak_plan &plan, const soak_round &round)
    {
        constexpr std::array<soak_fault, 4> planned{
            soak_fault::configurationChange, soak_fault::instanceStop, soak_fault::settingsReload, soak_fault::databaseLeaves};
        planned_fault change;
        change.kind = soak_fault::configurationChange;
        change.at = round.quietFrom + earlyChangeDelay;
        plan.faults.push_back(change);
        change.at = round.quietFrom + plannedWorkDelay;
        plan.faults.push_back(change);
        planned_fault other = change;
        other.kind = planned[1 + draw(planned.size() - 1)];
        other.at += duration(draw(500'000));
        other.target = draw(1000);
        other.variant = draw(1000);
        plan.faults.push_back(other);
    }

private:
    std::uint32_t draw(std::size_t below)
    {
        return static_cast<std::uint32_t>(m_random() % below);
    }

    void addQuietChange(soak_plan &plan, const soak_round &round, planned_fault change, duration delay)
    {
        change.at = round.quietFrom + delay + duration(m_workspaceRandom() % 300'000);
        change.length = {};
        plan.faults.push_back(change);
    }

    planned_fault drawWorkspaceFault(const soak_round &round, soak_fault kind)
    {
        const auto span = static_cast<std::uint64_t>((round.quietFrom - round.faultsFrom - 2 * minFaultLength).count());
        planned_fault fault;
        fault.kind = kind;
        fault.at = round.faultsFrom + duration(m_workspaceRandom() % span);
        fault.length = std::min(minFaultLength + duration(m_workspaceRandom() % 4'000'000), round.quietFrom - fault.at);
        fault.target = static_cast<std::uint32_t>(m_workspaceRandom() % 1000);
        fault.variant = static_cast<std::uint32_t>(m_workspaceRandom() % 1000);
        return fault;
    }

    planned_fault drawFault(const soak_round &round)
    {
        const duration span = round.quietFrom - round.faultsFrom;
        planned_fault fault;
        fault.at = round.faultsFrom + duration(draw(static_cast<std::size_t>((span - minFaultLength).count())));
        const duration left = round.quietFrom - fault.at;
        fault.length = minFaultLength + duration(draw(static_cast<std::size_t>((left - minFaultLength).count()) + 1));
        fault.kind = static_cast<soak_fault>(draw(static_cast<std::size_t>(soak_fault::storeReturnsFromCopy)));
        fault.target = draw(1000);
        fault.variant = draw(1000);
        return fault;
    }

    std::mt19937_64 m_random;
    std::mt19937_64 m_lossRandom;
    std::mt19937_64 m_stopRandom;
    std::mt19937_64 m_workspaceRandom;
};

} // namespace

std::string_view toString(soak_fault kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

bool playsWorkspaces(std::uint64_t seed)
{
    return seed >= firstSeedWithWorkspaces && seed < firstSeedWithStoreLosses;
}

bool playsPlannedWorkOnly(std::uint64_t seed)
{
    return seed >= firstSeedWithPlannedWorkOnly && seed < firstSeedWithOldEntries;
}

bool playsOldEntries(std::uint64_t seed)
{
    return seed >= firstSeedWithOldEntries && seed < firstSeedWithRouteMoves;
}

bool playsRouteMoves(std::uint64_t seed)
{
    return seed >= firstSeedWithRouteMoves;
}

soak_plan makePlan(std::uint64_t seed, duration length)
{
    plan_builder builder(seed);
    soak_plan plan;
    duration at = startupTime;
    do {
        const soak_round round{at, at + faultPhaseLength, at + faultPhaseLength + quietPhaseLength};
        plan.rounds.push_back(round);
        if (playsRouteMoves(seed)) {
            builder.addRouteMoves(plan, round);
        } else if (playsPlannedWorkOnly(seed)) {
            builder.addStopsInSeries(plan, round);
        } else {
            builder.addFaults(plan, round);
        }
        if ((seed >= firstSeedWithStoreLosses && !playsPlannedWorkOnly(seed) && !playsRouteMoves(seed))
            || (playsWorkspaces(seed) && seed % 2 == 1)) {
            builder.addStoreLosses(plan, round);
        }
        if (seed >= firstSeedWithPausedStops && !playsPlannedWorkOnly(seed) && !playsRouteMoves(seed)) {
            builder.addPausedStops(plan, round);
        }
        if (playsWorkspaces(seed)) {
            builder.addWorkspaceChanges(plan, round);
        }
        if (playsOldEntries(seed)) {
            builder.addRefusedOrders(plan, round);
        }
        builder.addPlannedWork(plan, round);
        at = round.end;
    } while (at + faultPhaseLength + quietPhaseLength <= length);
    plan.length = at;
    std::ranges::stable_sort(plan.faults, {}, &planned_fault::at);
    return plan;
}

std::string describe(const soak_plan &plan)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    const auto seconds = [](duration span) {
        return std::chrono::duration<double>(span).count();
    };
    for (std::size_t index = 0; index < plan.faults.size(); ++index) {
        const planned_fault &fault = plan.faults[index];
        text << index << "  at " << seconds(fault.at) << " s for " << seconds(fault.length) << " s: " << toString(fault.kind) << " (target "
             << fault.target << ", variant " << fault.variant << ")\n";
    }
    return text.str();
}

} // namespace mustardrouter
