#include "mustardrouter/Ownership/ownership_internal.h"

#include <algorithm>
#include <type_traits>

namespace mustardrouter
{

namespace
{

void onTick(group_ownership &state, time_point now, ownership_actions &actions)
{
    switch (state.role) {
    case ownership_role::bystander:
        tickBystander(state, now, actions);
        break;
    case ownership_role::deputy:
        tickDeputy(state, now, actions);
        break;
    case ownership_role::claiming:
        tickClaiming(state, now, actions);
        break;
    case ownership_role::owner:
        compensateForPause(state, now);
        tickOwner(state, now, actions);
        break;
    }
}

} // namespace

group_ownership::group_ownership(
    group_name groupName, instance_name selfName, std::string selfAddress, std::vector<database_name> names, ownership_settings intervals)
    : group(std::move(groupName))
    , self(std::move(selfName))
    , address(std::move(selfAddress))
    , settings(intervals)
{
    for (database_name &name : names) {
        database_view view;
        view.name = std::move(name);
        databases.push_back(std::move(view));
    }
}

void step(group_ownership &state, const ownership_event &event, time_point now, ownership_actions &actions)
{
    std::visit(
        [&](const auto &what) {
            using event_type = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<event_type, clock_ticked>) {
                onTick(state, now, actions);
            } else if constexpr (std::is_same_v<event_type, owner_candidates_changed>) {
                state.ranking = what.ranking;
                state.liveInstances = what.liveInstances;
            } else if constexpr (std::is_same_v<event_type, record_read>) {
                onRecordRead(state, what.record, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_written>) {
                onRecordWritten(state, what.record, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_conflict>) {
                state.recordRequestPending = false;
                requestRecord(state, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_request_failed>) {
                onRecordRequestFailed(state, now);
            } else if constexpr (std::is_same_v<event_type, heartbeat_received>) {
                onHeartbeat(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, database_reported>) {
                onDatabaseReport(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, database_answered>) {
                onStatementAnswered(state, what, now);
            } else if constexpr (std::is_same_v<event_type, database_unreachable>) {
                onDatabaseUnreachable(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, term_refused>) {
                if (state.role == ownership_role::owner && what.term > state.term) {
                    loseOwnership(state, now, actions, "a database refused its term");
                }
            } else if constexpr (std::is_same_v<event_type, primary_change_requested>) {
                onPrimaryChange(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, promotion_forced>) {
                onPromotionForced(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, resignation_requested>) {
                onResignation(state, actions);
            }
        },
        event);
}

database_view *findMutableDatabase(group_ownership &state, const database_name &name)
{
    const auto found = std::ranges::find(state.databases, name, &database_view::name);
    return found == state.databases.end() ? nullptr : &*found;
}

void logMessage(ownership_actions &actions, std::string text)
{
    actions.emplace_back(ownership_log_message{std::move(text)});
}

const database_view *findDatabase(const group_ownership &state, const database_name &name)
{
    const auto found = std::ranges::find(state.databases, name, &database_view::name);
    return found == state.databases.end() ? nullptr : &*found;
}

} // namespace mustardrouter
