#include "mustardrouter/Proxy/failover_state.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// An older status does not count as evidence of the present state.
constexpr duration statusValidFor = std::chrono::milliseconds(1000);

bool hasFreshStatus(const database_state &database, time_point now)
{
    return database.status.has_value() && now - database.statusAt <= statusValidFor;
}

bool isListed(const database_state &database)
{
    return database.unlistedSince == time_point{};
}

/// Time that a replica needs at most to receive the log again after it has started without one.
constexpr duration logCopiedWithin = std::chrono::milliseconds(1000);

/// Whether a replica may have lost the only other copy of commits of a primary that is silent, but may return with them.
bool isCopyLost(const failover_view &view)
{
    const auto primary = view.primary ? view.databases->find(*view.primary) : view.databases->end();
    if (view.syncReplicas == 0 || primary == view.databases->end() || primary->second.suspectedSince == time_point{}) {
        return false;
    }
    return std::ranges::any_of(*view.databases, [&](const auto &entry) {
        const time_point startedAt = entry.second.startedAgainAt;
        return startedAt != time_point{} && startedAt + logCopiedWithin > primary->second.lastReplyAt;
    });
}

} // namespace

const char *toString(failover_cause cause)
{
    switch (cause) {
    case failover_cause::none:
        return "none";
    case failover_cause::unresponsive:
        return "primary silent";
    case failover_cause::leaving:
        return "primary leaves";
    }
    return "";
}

failover_cause causeOfFailover(const failover_view &view, const proxy_settings &settings, time_point now)
{
    const database_state *primary = nullptr;
    if (view.primary) {
        const auto found = view.databases->find(*view.primary);
        primary = found == view.databases->end() ? nullptr : &found->second;
    }
    if (primary != nullptr && primary->listed.leaving) {
        return failover_cause::leaving;
    }
    if (primary != nullptr && (primary->suspectedSince == time_point{} || now - primary->suspectedSince < settings.failoverTimeout)) {
        return failover_cause::none;
    }
    bool replicationStopped = false;
    for (const auto &[name, database] : *view.databases) {
        if (view.primary == name || !hasFreshStatus(database, now)) {
            continue;
        }
        if (database.status->primary) {
            return failover_cause::none;
        }
        if (now - database.logGrewAt < settings.failoverTimeout) {
            return failover_cause::none;
        }
        replicationStopped = true;
    }
    return replicationStopped ? failover_cause::unresponsive : failover_cause::none;
}

bool isPrimaryInReach(const failover_view &view)
{
    const auto primary = view.primary ? view.databases->find(*view.primary) : view.databases->end();
    return primary != view.databases->end() && primary->second.suspectedSince == time_point{};
}

std::optional<database_name> chooseSuccessor(const failover_view &view, const proxy_settings &settings, time_point now)
{
    if (isCopyLost(view)) {
        return std::nullopt;
    }
    const database_state *successor = nullptr;
    const database_state *mostAdvanced = nullptr;
    const bool isSynchronous = view.syncReplicas > 0;
    // A primary within reach steps down before its successor is promoted, and that one is to receive its log until then.
    const bool pausesReplicas = isSynchronous && !isPrimaryInReach(view);
    const auto isBehind = [](const database_state *best, const database_state &database) {
        return best == nullptr || database.status->received > best->status->received;
    };
    for (const auto &[name, database] : *view.databases) {
        if (view.primary == name) {
            continue;
        }
        if (!hasFreshStatus(database, now) || database.statusAt < view.statusesSince) {
            // With synchronous replication, an unresponsive replica may be the only one that holds a commit.
            const bool mayHoldCommits = isListed(database) || now - database.unlistedSince < settings.unlistedValidFor;
            if (isSynchronous && mayHoldCommits) {
                return std::nullopt;
            }
            continue;
        }
        if (pausesReplicas && database.status->pausedUntilTerm == term_number{}) {
            // The replica still receives, so the primary may acknowledge a commit that the chosen one lacks.
            return std::nullopt;
        }
        if (isBehind(mostAdvanced, database)) {
            mostAdvanced = &database;
        }
        if (database.listed.leaving || !isListed(database) || database.suspectedSince != time_point{}) {
            continue;
        }
        if (isBehind(successor, database)) {
            successor = &database;
        }
    }
    if (isSynchronous && mostAdvanced != nullptr && isBehind(successor, *mostAdvanced)) {
        const bool canLead = isListed(*mostAdvanced) && mostAdvanced->suspectedSince == time_point{};
        successor = canLead ? mostAdvanced : nullptr;
    }
    if (successor == nullptr) {
        return std::nullopt;
    }
    return successor->listed.name;
}

bool isAheadOfReplicas(const failover_view &view, const failover_state &watch)
{
    const auto before = view.databases->find(watch.steppingDown);
    const bool hasSteppedDown = before != view.databases->end() && before->second.status && before->second.statusAt >= view.statusesSince
                                && !before->second.status->primary;
    const auto next = view.databases->find(watch.successor);
    if (!hasSteppedDown || next == view.databases->end() || !next->second.status || next->second.statusAt < view.statusesSince) {
        return false;
    }
    const bool areUnchanged = std::ranges::all_of(watch.replicas, [&](const auto &replica) {
        const auto found = view.databases->find(replica.first);
        return found != view.databases->end() && found->second.listed.incarnation == replica.second;
    });
    return areUnchanged && std::ranges::all_of(*view.databases, [&](const auto &entry) {
               const database_state &database = entry.second;
               const bool isRead = database.status && database.statusAt >= view.statusesSince;
               return view.primary == entry.first || (isRead && database.status->received <= next->second.status->received);
           });
}

bool isReadyForHandOver(const failover_view &view, const database_name &successor, time_point since)
{
    const auto primary = view.primary ? view.databases->find(*view.primary) : view.databases->end();
    const auto next = view.databases->find(successor);
    if (primary == view.databases->end() || next == view.databases->end()) {
        return false;
    }
    const database_state &before = primary->second;
    const database_state &after = next->second;
    const bool known = before.status && after.status && before.statusAt >= since && after.statusAt >= since;
    return known && !before.status->primary && after.status->received >= before.status->received;
}

bool isClaimOpen(const failover_view &view, const promotion_claim &claim)
{
    if (!claim.exists()) {
        return false;
    }
    const auto successor = view.databases->find(claim.successor);
    const bool lives = successor != view.databases->end() && successor->second.suspectedSince == time_point{};
    return claim.term >= highestTerm(view) || (view.primary && view.primary != claim.successor && lives);
}

term_number highestTerm(const failover_view &view)
{
    term_number highest;
    for (const auto &[name, database] : *view.databases) {
        if (database.status) {
            highest = std::max({highest, database.status->term, database.status->received.term});
        }
    }
    return highest;
}

} // namespace mustardrouter
