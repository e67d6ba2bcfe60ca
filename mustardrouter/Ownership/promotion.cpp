#include "mustardrouter/Ownership/ownership_internal.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

void orderFence(group_ownership &state, database_view &view, time_point now, ownership_actions &actions)
{
    view.lastOrderSentAt = now;
    actions.emplace_back(order_fence{view.name, state.term});
}

/// Starts the next term, or requests a new range when none is left. The range is exhausted only after many promotions
/// while the platform is down.
void advanceTerm(group_ownership &state, time_point now, ownership_actions &actions)
{
    // A renewed range lies above the reserve ranges of the deputies, whose terms must not be used.
    const term_number next = std::max(term_number(state.term.value() + 1), state.ownRange.first);
    if (state.ownRange.last < next) {
        claimNewRange(state, now, actions);
        return;
    }
    state.term = next;
    beginFencing(state, now, actions);
}

std::size_t fenceAnswers(const group_ownership &state)
{
    return static_cast<std::size_t>(std::ranges::count(state.databases, true, &database_view::answeredFence));
}

std::size_t excludedCount(const group_ownership &state)
{
    return static_cast<std::size_t>(std::ranges::count(state.databases, true, &database_view::excludedFromQuorum));
}

/// Whether a quorum answered the fence without the database to be avoided as primary.
bool canAvoid(const group_ownership &state)
{
    const database_view *avoided = state.avoidedPrimary ? findDatabase(state, *state.avoidedPrimary) : nullptr;
    if (avoided == nullptr) {
        return false;
    }
    const std::size_t others = fenceAnswers(state) - (avoided->answeredFence ? 1U : 0U);
    return others + excludedCount(state) >= fenceQuorum(state);
}

/// The database whose fence answer has the highest log entry; among equals the preferred primary, then one that is not
/// leaving, then the current primary. Any fence quorum holds every acknowledged write, so the avoided database is left
/// out when the others are a quorum.
const database_view *choosePrimary(const group_ownership &state)
{
    const bool excludesAvoided = canAvoid(state);
    const auto eligible = [&](const database_view &view) {
        return view.answeredFence && !(excludesAvoided && state.avoidedPrimary == view.name);
    };
    const database_view *best = nullptr;
    for (const database_view &view : state.databases) {
        if (!eligible(view)) {
            continue;
        }
        if (best == nullptr || best->report.received < view.report.received) {
            best = &view;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const auto score = [&](const database_view &view) {
        const bool isPreferred = state.preferredPrimary == view.name;
        const bool isCurrent = view.name == state.primary;
        return (isPreferred ? 4 : 0) + (view.report.leaving ? 0 : 2) + (isCurrent ? 1 : 0);
    };
    for (const database_view &view : state.databases) {
        const bool equallyGood = eligible(view) && view.report.received == best->report.received;
        if (equallyGood && score(view) > score(*best)) {
            best = &view;
        }
    }
    return best;
}

void beginPromoting(group_ownership &state, time_point now, ownership_actions &actions)
{
    const database_view *best = choosePrimary(state);
    assert(best != nullptr);
    state.primary = best->name;
    state.preferredPrimary.reset();
    state.avoidedPrimary.reset();
    state.phase = promotion_phase::promoting;
    state.phaseStartedAt = now;
    actions.emplace_back(order_promote{state.primary, state.term});
}

void orderFollow(group_ownership &state, database_view &view, time_point now, ownership_actions &actions)
{
    view.lastOrderSentAt = now;
    actions.emplace_back(order_follow{view.name, state.term, state.primary});
}

void beginConfirming(group_ownership &state, log_entry barrier, time_point now, ownership_actions &actions)
{
    state.phase = promotion_phase::confirming;
    state.phaseStartedAt = now;
    state.barrier = barrier;
    for (database_view &view : state.databases) {
        if (view.name == state.primary) {
            continue;
        }
        orderFollow(state, view, now, actions);
    }
}

void serveIfConfirmed(group_ownership &state, ownership_actions &actions)
{
    if (state.phase != promotion_phase::confirming) {
        return;
    }
    if (confirmedPosition(state) < state.barrier.position) {
        return;
    }
    state.phase = promotion_phase::serving;
    state.handoverCount = 0;
    actions.emplace_back(term_started{state.term, state.primary, state.barrier});
    logMessage(
        actions,
        "serves " + state.group.value() + " in term " + std::to_string(state.term.value()) + " with primary " + state.primary.value());
}

/// Whether every database has answered the fence, except those that are excluded, unreachable or avoided.
bool allAnswered(const group_ownership &state)
{
    return std::ranges::all_of(state.databases, [&](const database_view &view) {
        return view.answeredFence || view.excludedFromQuorum || !view.reachable || state.avoidedPrimary == view.name;
    });
}

} // namespace

void beginFencing(group_ownership &state, time_point now, ownership_actions &actions)
{
    state.phase = promotion_phase::fencing;
    state.phaseStartedAt = now;
    state.fenceQuorumReachedAt = time_point{};
    state.barrier = log_entry{};
    state.primaryConnectionLostAt = time_point{};
    for (database_view &view : state.databases) {
        view.answeredFence = false;
        view.report.inSync = false;
        orderFence(state, view, now, actions);
    }
}

void replacePrimary(group_ownership &state, time_point now, ownership_actions &actions, const std::string &reason)
{
    logMessage(actions, "replaces the primary " + state.primary.value() + ": " + reason);
    if (state.phase == promotion_phase::serving) {
        actions.emplace_back(term_ended{state.term, false});
    }
    state.avoidedPrimary = state.primary;
    advanceTerm(state, now, actions);
}

void onOwnerReport(group_ownership &state, database_view &view, time_point now, ownership_actions &actions)
{
    if (view.report.term > state.term) {
        loseOwnership(state, now, actions, "a database knows a higher term");
        return;
    }
    if (view.report.term < state.term) {
        return;
    }
    if (state.phase == promotion_phase::fencing) {
        view.answeredFence = true;
        view.excludedFromQuorum = false;
        tickFencing(state, now, actions);
        return;
    }
    view.excludedFromQuorum = view.excludedFromQuorum && !view.report.inSync;
    const bool promoted = view.name == state.primary && view.report.role == database_role::primary;
    if (state.phase == promotion_phase::promoting && promoted) {
        beginConfirming(state, view.report.received, now, actions);
    }
    serveIfConfirmed(state, actions);
}

void tickFencing(group_ownership &state, time_point now, ownership_actions &actions)
{
    const std::size_t answers = fenceAnswers(state);
    if (answers > 0 && answers + excludedCount(state) >= fenceQuorum(state)) {
        if (state.fenceQuorumReachedAt == time_point{}) {
            state.fenceQuorumReachedAt = now;
        }
        if (allAnswered(state) || now - state.fenceQuorumReachedAt >= state.settings.fenceGracePeriod) {
            beginPromoting(state, now, actions);
            return;
        }
    }
    for (database_view &view : state.databases) {
        if (view.answeredFence || now - view.lastOrderSentAt < state.settings.orderRetryInterval) {
            continue;
        }
        orderFence(state, view, now, actions);
    }
}

void tickConfirming(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now - state.phaseStartedAt < state.settings.barrierTimeout) {
        return;
    }
    // Without a quorum of other databases the same primary would be chosen again.
    std::size_t others = 0;
    for (const database_view &view : state.databases) {
        const bool heard = now - view.lastReportAt < state.settings.primaryReportTimeout;
        others += heard && view.name != state.primary ? 1U : 0U;
    }
    if (others >= fenceQuorum(state)) {
        replacePrimary(state, now, actions, "its barrier entry is not confirmed");
    }
}

void onPromotionForced(group_ownership &state, const promotion_forced &event, time_point now, ownership_actions &actions)
{
    const bool canForce = state.role == ownership_role::owner && state.phase == promotion_phase::fencing && fenceAnswers(state) > 0;
    const bool namesAllUnanswered = std::ranges::all_of(state.databases, [&](const database_view &view) {
        return view.answeredFence || std::ranges::find(event.excludedFromQuorum, view.name) != event.excludedFromQuorum.end();
    });
    if (!canForce || !namesAllUnanswered) {
        logMessage(actions, "refuses to force a promotion: the request must name every database that has not answered the fence");
        return;
    }
    for (database_view &view : state.databases) {
        view.excludedFromQuorum = !view.answeredFence;
    }
    logMessage(actions, "forces a promotion: acknowledged writes that only the excluded databases hold are lost");
    beginPromoting(state, now, actions);
}

void orderFollowers(group_ownership &state, time_point now, ownership_actions &actions)
{
    for (database_view &view : state.databases) {
        if (view.name == state.primary || now - view.lastOrderSentAt < state.settings.orderRetryInterval) {
            continue;
        }
        const bool follows = view.report.term == state.term && view.report.role == database_role::replica;
        if (!follows) {
            orderFollow(state, view, now, actions);
        }
    }
}

} // namespace mustardrouter
