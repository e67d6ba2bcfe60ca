#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

/// Who watches the databases of a group to which only some instances, the holders, keep connections.
///
/// Invariant: while the primary of a group is in doubt, each instance asks its databases itself, or a holder has told it within
/// `watchReportValidFor` that it does. An instance's entry in the list is no sign of life: it stays when the instance is lost. Two that
/// order promotions at the same time are kept apart by the claim, as ever.
namespace mustardrouter::proxying
{

namespace
{

/// Replies to questions arrive within 0.1 s; one of them may be lost.
constexpr duration watchReportValidFor = std::chrono::milliseconds(1000);
/// Interval at which a holder that has told that it watches is asked again, and at which others are asked until one does.
constexpr duration watchQuestionInterval = std::chrono::milliseconds(400);
constexpr duration nextHolderInterval = std::chrono::milliseconds(200);
/// Time for a link to a holder to open and for its reply. After it, without a report, an instance watches the databases itself.
constexpr duration firstReportWithin = std::chrono::milliseconds(600);

bool hasReported(const database_state &holder, time_point now)
{
    return holder.watchReportedAt != time_point{} && now - holder.watchReportedAt < watchReportValidFor;
}

/// This instance has begun to replace the primary, or has paused replicas. It goes on with that, whoever holds the connections now.
bool isReplacingPrimary(const group_state &group)
{
    return group.failover.cause != failover_cause::none || group.failover.phase != failover_phase::watching
           || std::ranges::any_of(group.databases, [](const auto &entry) {
                  return entry.second.pausedAt != time_point{};
              });
}

/// The holder that has reported last, else the one that was asked longest ago; nullptr if all have been asked a moment ago.
database_state *holderToAsk(group_state &group, time_point now)
{
    database_state *chosen = nullptr;
    for (auto &[name, holder] : group.holders) {
        const duration interval = hasReported(holder, now) ? watchQuestionInterval : firstReportWithin;
        if (holder.suspectedSince != time_point{} || now < holder.openNotBefore || now - holder.roleAskedAt < interval) {
            continue;
        }
        const auto order = [](const database_state &one) {
            return std::pair(-one.watchReportedAt.time_since_epoch(), one.roleAskedAt);
        };
        if (chosen == nullptr || order(holder) < order(*chosen)) {
            chosen = &holder;
        }
    }
    return chosen;
}

void setWatching(proxy_engine &engine, group_state &group, bool watches, const char *reason)
{
    if (std::exchange(group.watchedHere, watches) == watches) {
        return;
    }
    reportEvent(engine, "watching_changed", {{"group", group.name.value()}, {"self", watches ? "watches" : "relays"}, {"why", reason}});
}

} // namespace

bool isPrimaryInDoubt(const group_state &group)
{
    const auto primary = group.primary ? group.databases.find(*group.primary) : group.databases.end();
    return primary == group.databases.end() || primary->second.suspectedSince != time_point{} || primary->second.listed.leaving;
}

bool watchesDatabases(proxy_engine &engine, group_state &group, time_point now)
{
    if (group.holders.empty()) {
        group.watchedHere = false;
        return true;
    }
    if (isReplacingPrimary(group)) {
        setWatching(engine, group, true, "it replaces the primary");
        return true;
    }
    if (!isPrimaryInDoubt(group) || group.databases.empty()) {
        group.unreportedSince = time_point{};
        setWatching(engine, group, false, "the primary is not in doubt");
        return false;
    }
    if (database_state *holder = holderToAsk(group, now)) {
        askHolder(engine, group, *holder, now);
    }
    const bool reported = std::ranges::any_of(group.holders, [&](const auto &entry) {
        return hasReported(entry.second, now);
    });
    scheduleGroupCheck(engine, group, now + (reported ? watchQuestionInterval : nextHolderInterval));
    if (reported) {
        group.unreportedSince = time_point{};
        setWatching(engine, group, false, "a holder watches");
        return false;
    }
    if (group.unreportedSince == time_point{}) {
        group.unreportedSince = now;
    }
    const bool watches = now - group.unreportedSince >= firstReportWithin;
    setWatching(engine, group, watches, "no holder tells that it watches");
    return watches;
}

std::vector<std::string> groupsWatchedElsewhere(const proxy_engine &engine)
{
    std::vector<std::string> names;
    for (const auto &[name, group] : engine.groups) {
        if (!group.holders.empty() && !group.watchedHere) {
            names.push_back(name.value());
        }
    }
    return names;
}

void recordWatchReport(proxy_engine &engine, const database_name &holder, const std::vector<std::string> &watchedElsewhere, time_point now)
{
    for (auto &[name, group] : engine.groups) {
        const auto found = group.holders.find(holder);
        if (found == group.holders.end()) {
            continue;
        }
        const bool watches = std::ranges::find(watchedElsewhere, name.value()) == watchedElsewhere.end();
        found->second.watchReportedAt = watches ? now : time_point{};
    }
}

} // namespace mustardrouter::proxying
