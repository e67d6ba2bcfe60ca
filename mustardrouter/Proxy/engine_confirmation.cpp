#include "mustardrouter/Proxy/commit_confirmation.h"
#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>

/// Holds acknowledgements of commits until these survive a change of the primary; see commit_confirmation.h.
namespace mustardrouter::proxying
{

namespace
{

/// A replica that lacks a commit is asked again after this time, and one that does not reply after the other.
constexpr duration confirmationInterval = std::chrono::milliseconds(30);
constexpr duration unansweredInterval = std::chrono::milliseconds(100);
/// Where a commit is still missing somewhere after this time, the store's claim tells whether a promotion could lose it.
constexpr duration claimNotBefore = std::chrono::milliseconds(100);

bool isMissing(const database_state &database)
{
    return database.suspectedSince != time_point{} || database.unlistedSince != time_point{};
}

commit_view commitViewOf(const group_state &group)
{
    const auto primary = group.primary ? group.databases.find(*group.primary) : group.databases.end();
    const bool leaves = primary == group.databases.end() || primary->second.listed.leaving;
    const bool anyMissing = std::ranges::any_of(group.databases, [](const auto &entry) {
        return isMissing(entry.second);
    });
    const bool mayChange = leaves || anyMissing || group.failover.cause != failover_cause::none;
    return {&group.databases, &group.verification, group.limits.syncReplicas, mayChange};
}

/// Asks a replica where its log ends. The reply to a plain BEGIN occupies no slot, but tells only what has been applied; a replica that has
/// replied since and lacks the commit is asked for its status, which tells what it has received.
void askForLogEnd(proxy_engine &engine, group_state &group, database_state &database, time_point heldSince, time_point now)
{
    const bool isAsked = database.roleAskedAt >= heldSince;
    const bool isAnswered = database.lastReplyAt > database.roleAskedAt;
    if (isAsked && now - database.roleAskedAt < (isAnswered ? confirmationInterval : unansweredInterval)) {
        return;
    }
    if (!isAsked || !isAnswered) {
        askForRole(engine, group, database, now);
        return;
    }
    if (database_connection *connection = findForRoleCheck(engine, group, database, now)) {
        database.roleAskedAt = now;
        sendProbe(engine, *connection, probe_request{.primaryCheck = true, .status = true}, now);
    }
}

} // namespace

bool needsConfirmation(const proxy_engine &engine, const group_state &group, const held_reply &held)
{
    return held.writes && (group.limits.syncReplicas > 0 || !engine.settings.replacedPrimariesStepDown);
}

bool isConfirmed(const proxy_engine &engine, const group_state &group, const held_reply &held)
{
    if (!held.reply.position) {
        return false;
    }
    const commit_view view = commitViewOf(group);
    const log_entry &entry = *held.reply.position;
    const bool isNewest = engine.settings.replacedPrimariesStepDown || isBeforeUnlistedPrimary(view, held.database, entry, held.since);
    return isNewest && (group.limits.syncReplicas == 0 || isCommitKept(view, held.database, entry, held.since));
}

void demandConfirmation(proxy_engine &engine, group_state &group, time_point now)
{
    const commit_view view = commitViewOf(group);
    const bool isSynchronous = group.limits.syncReplicas > 0;
    const held_reply *newest = nullptr;
    time_point claimSince{};
    for (const held_reply &held : group.verification.held) {
        if (!needsConfirmation(engine, group, held) || !held.reply.position || isConfirmed(engine, group, held)) {
            continue;
        }
        newest = &held;
        const bool isLate = now - held.heldAt >= claimNotBefore && isMissingSomewhere(view, held.database, *held.reply.position);
        if ((isSynchronous && view.primaryMayChange) || isLate) {
            claimSince = held.since;
        }
    }
    if (newest == nullptr) {
        return;
    }
    for (auto &[name, database] : group.databases) {
        if (name != newest->database && !hasEntry(database, *newest->reply.position)) {
            askForLogEnd(engine, group, database, newest->since, now);
        }
    }
    if (claimSince != time_point{}) {
        readClaimForEvidence(engine, group, claimSince, now);
    }
    scheduleVerification(engine, group, now + confirmationInterval);
}

void releaseConfirmed(proxy_engine &engine, group_state &group, time_point now)
{
    if (!group.verification.held.empty()) {
        releaseVerified(engine, group, now);
    }
}

} // namespace mustardrouter::proxying
