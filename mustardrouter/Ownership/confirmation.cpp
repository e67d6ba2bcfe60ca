#include "mustardrouter/Ownership/group_ownership.h"

#include <algorithm>
#include <functional>

namespace mustardrouter
{

namespace
{

/// Number of replicas that must confirm a write. Databases excluded by an operator cannot confirm until they follow
/// again.
std::size_t confirmationsNeeded(const group_ownership &state)
{
    const auto excluded = static_cast<std::size_t>(std::ranges::count(state.databases, true, &database_view::excludedFromQuorum));
    return std::min<std::size_t>(
        state.settings.confirmReplicas, state.databases.size() - 1 - std::min(excluded, state.databases.size() - 1));
}

} // namespace

bool isServing(const group_ownership &state)
{
    return state.role == ownership_role::owner && state.phase == promotion_phase::serving;
}

log_position confirmedPosition(const group_ownership &state)
{
    const std::size_t needed = confirmationsNeeded(state);
    const database_view *primary = findDatabase(state, state.primary);
    const bool promoted = state.phase == promotion_phase::confirming || state.phase == promotion_phase::serving;
    if (state.role != ownership_role::owner || primary == nullptr || !promoted) {
        return log_position{};
    }
    if (needed == 0) {
        return primary->report.received.position;
    }
    std::vector<log_position> confirmed;
    for (const database_view &view : state.databases) {
        const bool counts =
            view.name != state.primary && view.report.term == state.term && view.report.inSync && view.report.received.term == state.term;
        if (counts) {
            confirmed.push_back(view.report.received.position);
        }
    }
    if (confirmed.size() < needed) {
        return log_position{};
    }
    std::ranges::sort(confirmed, std::greater<>{});
    const log_position position = confirmed[needed - 1];
    return position < state.barrier.position ? log_position{} : position;
}

std::size_t fenceQuorum(const group_ownership &state)
{
    return state.databases.size() - std::min<std::size_t>(state.settings.confirmReplicas, state.databases.size() - 1);
}

bool isRoundConfirmed(const group_ownership &state, std::uint64_t round)
{
    std::size_t count = 0;
    for (const database_view &view : state.databases) {
        count += view.report.term == state.term && view.report.round >= round ? 1U : 0U;
    }
    return count > confirmationsNeeded(state);
}

std::size_t responsiveDatabaseCount(const group_ownership &state, time_point now)
{
    std::size_t count = 0;
    for (const database_view &view : state.databases) {
        count += now - view.lastReportAt < state.settings.primaryReportTimeout ? 1U : 0U;
    }
    return count;
}

failure availabilityProblem(const group_ownership &state, time_point now)
{
    if (state.role != ownership_role::owner) {
        return failure::none;
    }
    if (!isServing(state)) {
        const bool tooFewResponsive = responsiveDatabaseCount(state, now) < fenceQuorum(state);
        return tooFewResponsive || now - state.phaseStartedAt >= state.settings.barrierTimeout ? failure::noQuorum : failure::none;
    }
    std::size_t confirmingReplicas = 0;
    for (const database_view &view : state.databases) {
        const bool heard = view.reachable && now - view.lastReportAt < state.settings.primaryReportTimeout;
        confirmingReplicas += heard && view.name != state.primary && view.report.inSync && view.report.term == state.term ? 1U : 0U;
    }
    return confirmingReplicas < confirmationsNeeded(state) ? failure::noQuorum : failure::none;
}

std::uint64_t startRound(group_ownership &state, time_point now, ownership_actions &actions)
{
    ++state.round;
    state.roundStartedAt = now;
    for (database_view &view : state.databases) {
        view.probedAt = now;
        actions.emplace_back(order_report{view.name, state.round});
    }
    return state.round;
}

} // namespace mustardrouter
