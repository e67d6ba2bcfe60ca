#include "mustardrouter/Ownership/ownership_internal.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

/// The in-sync replica with the longest log that is not leaving; nothing when there is none.
std::optional<database_name> findSuccessor(const group_ownership &state)
{
    const database_view *best = nullptr;
    for (const database_view &view : state.databases) {
        const bool suitable = view.name != state.primary && view.report.term == state.term && view.report.inSync && !view.report.leaving;
        if (suitable && (best == nullptr || best->report.received < view.report.received)) {
            best = &view;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->name);
}

/// Whether a replica reports that it has lost the primary too.
bool replicaLostPrimary(const group_ownership &state)
{
    return std::ranges::any_of(state.databases, [&](const database_view &view) {
        const bool replica = view.report.term == state.term && view.report.role == database_role::replica;
        return replica && !view.report.inSync && view.lastReportAt >= state.primaryConnectionLostAt && view.name != state.primary;
    });
}

void tickPrimary(group_ownership &state, time_point now, ownership_actions &actions)
{
    const database_view *primary = findDatabase(state, state.primary);
    assert(primary != nullptr);
    const time_point lastReportAt = std::max(primary->lastReportAt, primary->lastAnswerAt);
    if (now - lastReportAt >= state.settings.primaryReportTimeout) {
        replacePrimary(state, now, actions, "silent");
        return;
    }
    const bool connectionLost = state.primaryConnectionLostAt != time_point{};
    if (connectionLost && (replicaLostPrimary(state) || now - state.primaryConnectionLostAt >= state.settings.reconnectTimeout)) {
        replacePrimary(state, now, actions, "its control connection was lost and no new one answers");
    }
}

/// Replaces control connections without reports: a middlebox may have dropped the state of the old connection, so that
/// a new one works although the old one does not.
void replaceUnresponsiveConnections(group_ownership &state, time_point now, ownership_actions &actions)
{
    for (database_view &view : state.databases) {
        const duration sinceLastReport = now - std::max(view.lastReportAt, view.connectionReplacedAt);
        const bool polledOncePerRound = isServing(state) && view.name != state.primary;
        const duration extraInterval = polledOncePerRound ? state.settings.reportInterval - state.settings.probeInterval : duration::zero();
        if (sinceLastReport < extraInterval + state.settings.controlConnectionTimeout * static_cast<int>(view.reconnectCount + 1)) {
            continue;
        }
        view.connectionReplacedAt = now;
        view.reconnectCount = std::min(view.reconnectCount + 1, state.settings.maxReconnectBackoffSteps);
        actions.emplace_back(replace_control_connection{view.name});
        actions.emplace_back(order_report{view.name, state.round});
        if (state.phase == promotion_phase::fencing && !view.answeredFence) {
            actions.emplace_back(order_fence{view.name, state.term});
        }
    }
}

void tickProbes(group_ownership &state, time_point now, ownership_actions &actions)
{
    const duration interval = isServing(state) ? state.settings.reportInterval : state.settings.probeInterval;
    if (now - state.roundStartedAt >= interval) {
        startRound(state, now, actions);
        return;
    }
    database_view *primary = findMutableDatabase(state, state.primary);
    if (primary == nullptr) {
        return;
    }
    // A primary that is writing reports unsolicited and needs no probe.
    if (now - std::max(primary->lastReportAt, primary->probedAt) >= state.settings.probeInterval) {
        primary->probedAt = now;
        actions.emplace_back(order_report{primary->name, state.round});
    }
}

/// An owner with too few responsive databases asks a deputy to take over, with exponential backoff over repeated
/// handovers.
void tickIsolation(group_ownership &state, time_point now)
{
    if (responsiveDatabaseCount(state, now) >= fenceQuorum(state)) {
        state.quorumReportedAt = now;
    }
    const duration timeout =
        state.settings.isolationTimeout * (1 << std::min<std::uint32_t>(state.handoverCount, state.settings.maxHandoverBackoffDoublings));
    state.isolated = !isServing(state) && now - state.quorumReportedAt >= timeout;
}

} // namespace

void tickOwner(group_ownership &state, time_point now, ownership_actions &actions)
{
    tickIsolation(state, now);
    tickHeartbeats(state, now, actions);
    tickRecord(state, now, actions);
    replaceUnresponsiveConnections(state, now, actions);
    switch (state.phase) {
    case promotion_phase::fencing:
        tickFencing(state, now, actions);
        break;
    case promotion_phase::promoting:
        if (now - state.phaseStartedAt >= state.settings.promotionTimeout) {
            replacePrimary(state, now, actions, "it did not answer the promotion");
        }
        break;
    case promotion_phase::confirming:
        orderFollowers(state, now, actions);
        tickConfirming(state, now, actions);
        if (state.role == ownership_role::owner && state.phase == promotion_phase::confirming) {
            tickPrimary(state, now, actions);
        }
        break;
    case promotion_phase::serving:
        orderFollowers(state, now, actions);
        tickPrimary(state, now, actions);
        break;
    }
    tickProbes(state, now, actions);
}

void onDatabaseReport(group_ownership &state, const database_reported &event, time_point now, ownership_actions &actions)
{
    database_view *view = findMutableDatabase(state, event.database);
    // A database's term never decreases: a report with a lower term is older than the one known.
    if (view == nullptr || event.report.term < view->report.term) {
        return;
    }
    const std::uint64_t round = std::max(view->report.round, event.report.round);
    view->report = event.report;
    view->report.round = round;
    view->lastReportAt = now;
    view->reconnectCount = 0;
    view->reachable = true;
    if (event.database == state.primary) {
        state.primaryConnectionLostAt = time_point{};
    }
    if (state.role == ownership_role::owner) {
        onOwnerReport(state, *view, now, actions);
    }
}

void onStatementAnswered(group_ownership &state, const database_answered &event, time_point now)
{
    // Answers to statements do not count as reports: its control connection may still be dead and have to be replaced.
    if (database_view *view = findMutableDatabase(state, event.database)) {
        view->lastAnswerAt = now;
    }
}

void onDatabaseUnreachable(group_ownership &state, const database_unreachable &event, time_point now, ownership_actions &actions)
{
    database_view *view = findMutableDatabase(state, event.database);
    if (view == nullptr) {
        return;
    }
    view->reachable = false;
    view->report.inSync = false;
    if (state.role != ownership_role::owner || event.database != state.primary || state.phase == promotion_phase::fencing) {
        return;
    }
    // A single lost connection is no reason for a failover; a second loss or no answer on the new connection is.
    const bool alreadyLost = state.primaryConnectionLostAt != time_point{};
    if (alreadyLost || state.phase == promotion_phase::promoting) {
        replacePrimary(state, now, actions, "its control connection was lost");
        return;
    }
    state.primaryConnectionLostAt = now;
    actions.emplace_back(order_report{view->name, state.round});
}

void onPrimaryChange(group_ownership &state, const primary_change_requested &event, time_point now, ownership_actions &actions)
{
    if (!isServing(state)) {
        return;
    }
    const std::optional<database_name> to = event.to ? event.to : findSuccessor(state);
    if (!to || findDatabase(state, *to) == nullptr) {
        logMessage(actions, "keeps the primary " + state.primary.value() + ": no other database can take its place");
        return;
    }
    replacePrimary(state, now, actions, "planned change");
    state.avoidedPrimary.reset();
    state.preferredPrimary = to;
}

void compensateForPause(group_ownership &state, time_point now)
{
    const duration pause = now - state.lastTickAt;
    state.lastTickAt = now;
    if (pause < state.settings.processPauseThreshold) {
        return;
    }
    for (database_view &view : state.databases) {
        view.lastReportAt = std::min(now, view.lastReportAt + pause);
    }
    state.quorumReportedAt = std::min(now, state.quorumReportedAt + pause);
}

} // namespace mustardrouter
