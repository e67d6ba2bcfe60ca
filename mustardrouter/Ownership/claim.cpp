#include "mustardrouter/Ownership/ownership_internal.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

term_number highestTermSeen(const group_ownership &state)
{
    term_number highest = state.term;
    for (const database_view &view : state.databases) {
        highest = std::max(highest, view.report.term);
    }
    return highest;
}

std::vector<term_range> holdersWithSelfFirst(const group_ownership &state)
{
    std::vector<term_range> holders{{state.self, state.address, {}, {}}};
    for (const term_range &candidate : state.ranking) {
        if (candidate.holder == state.self || holders.size() == holdersPerGroup) {
            continue;
        }
        holders.push_back(candidate);
    }
    return holders;
}

void writeClaim(group_ownership &state, time_point now, ownership_actions &actions)
{
    state.recordRequestPending = true;
    state.recordRequestedAt = now;
    actions.emplace_back(write_record{nextRecord(state.record, highestTermSeen(state), holdersWithSelfFirst(state))});
}

void becomeOwner(group_ownership &state, const term_range &range, time_point now, ownership_actions &actions)
{
    state.role = ownership_role::owner;
    state.ownRange = range;
    state.term = range.first;
    state.heartbeatSentAt = time_point{};
    state.lastTickAt = now;
    state.quorumReportedAt = now;
    state.isolated = false;
    for (database_view &view : state.databases) {
        // Timeouts of the databases start with the takeover.
        view.lastReportAt = now;
        view.reachable = true;
        view.excludedFromQuorum = false;
    }
    logMessage(actions, "owns " + state.group.value() + " from term " + std::to_string(state.term.value()));
    beginFencing(state, now, actions);
}

void claim(group_ownership &state, time_point now, ownership_actions &actions, const char *reason)
{
    if (state.resigning) {
        return;
    }
    logMessage(actions, "claims " + state.group.value() + ": " + reason);
    state.role = ownership_role::claiming;
    state.claimStartedAt = now;
    writeClaim(state, now, actions);
}

/// Whether a deputy is gone while another live instance could replace it.
bool lacksDeputies(const group_ownership &state)
{
    const std::vector<term_range> wanted = holdersWithSelfFirst(state);
    std::size_t liveHolders = 0;
    for (const term_range &range : state.record.ranges) {
        liveHolders += range.holder == state.self || isLive(state, range.holder) ? 1U : 0U;
    }
    return liveHolders < wanted.size();
}

bool isFirstCandidate(const group_ownership &state)
{
    return !state.ranking.empty() && state.ranking.front().holder == state.self;
}

/// Claims the group when all holders have been missing for `missingHoldersTimeout`. The delay is needed because the
/// list of instances may lag behind.
void claimIfAbandoned(group_ownership &state, time_point now, ownership_actions &actions)
{
    for (const term_range &range : state.record.ranges) {
        if (isLive(state, range.holder)) {
            state.holdersMissingSince = time_point{};
            return;
        }
    }
    if (state.holdersMissingSince == time_point{}) {
        state.holdersMissingSince = now;
    }
    if (isFirstCandidate(state) && now - state.holdersMissingSince >= state.settings.missingHoldersTimeout) {
        claim(state, now, actions, "none of its holders is alive");
    }
}

void adoptRecord(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.record = record;
    const std::optional<std::size_t> index = ownHolderIndex(state);
    if (record.ranges.empty()) {
        if (isFirstCandidate(state)) {
            claim(state, now, actions, "it has no owner");
        }
        return;
    }
    if (!index) {
        state.role = ownership_role::bystander;
        claimIfAbandoned(state, now, actions);
        return;
    }
    if (*index == 0 && record.ranges.front().first > state.term) {
        becomeOwner(state, record.ranges.front(), now, actions);
        return;
    }
    // A recorded owner whose range was fenced by another owner waits for that owner as the last deputy.
    if (state.role != ownership_role::deputy) {
        state.lastHeartbeatAt = now;
    }
    state.role = ownership_role::deputy;
}

/// Whether so few terms are left in the range that a new one must be requested.
bool needsTerms(const group_ownership &state)
{
    return state.ownRange.last.value() < state.term.value() + state.settings.minRemainingTerms;
}

/// Whether a heartbeat comes from an owner that was replaced without knowing it; it must not prevent deputies from
/// taking over.
bool isStale(const group_ownership &state, const heartbeat_received &heartbeat)
{
    if (heartbeat.term < state.ownerTerm) {
        return true;
    }
    if (state.record.ranges.empty()) {
        return false;
    }
    // The recorded owner may still use a term below the range that it has been assigned since.
    const term_range &front = state.record.ranges.front();
    return heartbeat.from != front.holder && heartbeat.term < front.first;
}

/// Rank among the deputies, starting at 1. A recorded owner that lost its range ranks last.
int deputyRank(const group_ownership &state)
{
    const std::size_t index = ownHolderIndex(state).value_or(holdersPerGroup);
    return static_cast<int>(index == 0 ? holdersPerGroup : index);
}

/// When a bystander reads the record next; time_point::max() when it is not a candidate.
time_point recordPollDueAt(const group_ownership &state)
{
    const auto rank = static_cast<std::size_t>(std::ranges::find(state.ranking, state.self, &term_range::holder) - state.ranking.begin());
    if (rank >= std::min(holdersPerGroup, state.ranking.size())) {
        return time_point::max();
    }
    if (state.recordRequestedAt == time_point{}) {
        return time_point::min();
    }
    const bool ownerMissing = state.record.ranges.empty() || state.holdersMissingSince != time_point{};
    return state.recordRequestedAt + (ownerMissing ? state.settings.platformReplyTimeout : state.settings.recordPollInterval);
}

/// When a deputy takes over from a resigning owner; time_point::max() when the owner does not resign.
time_point resignationTakeoverDueAt(const group_ownership &state)
{
    if (state.ownerResignsSince == time_point{}) {
        return time_point::max();
    }
    // The first deputy takes over at once; a later one only if those before it do not.
    return state.ownerResignsSince + state.settings.orderRetryInterval * (deputyRank(state) - 1);
}

/// When a deputy takes over if it receives no further heartbeat.
time_point takeoverDueAt(const group_ownership &state)
{
    return state.lastHeartbeatAt + state.settings.ownerHeartbeatTimeout * deputyRank(state);
}

} // namespace

time_point nextWakeup(const group_ownership &state)
{
    switch (state.role) {
    case ownership_role::bystander:
        return recordPollDueAt(state);
    case ownership_role::deputy:
        return std::min(takeoverDueAt(state), resignationTakeoverDueAt(state));
    case ownership_role::claiming:
    case ownership_role::owner:
        break;
    }
    return time_point::min();
}

std::optional<std::size_t> ownHolderIndex(const group_ownership &state)
{
    for (std::size_t index = 0; index < state.record.ranges.size(); ++index) {
        if (state.record.ranges[index].holder == state.self) {
            return index;
        }
    }
    return std::nullopt;
}

bool isLive(const group_ownership &state, const instance_name &name)
{
    if (state.liveInstances) {
        return state.liveInstances->contains(name);
    }
    return std::ranges::find(state.ranking, name, &term_range::holder) != state.ranking.end();
}

void requestRecord(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (state.recordRequestPending) {
        return;
    }
    state.recordRequestPending = true;
    state.recordRequestedAt = now;
    actions.emplace_back(read_record{});
}

void loseOwnership(group_ownership &state, time_point now, ownership_actions &actions, const char *reason)
{
    if (state.role == ownership_role::owner) {
        actions.emplace_back(term_ended{state.term, true});
        logMessage(actions, "loses ownership of " + state.group.value() + ": " + reason);
    }
    state.handoverCount += state.isolated ? 1U : 0U;
    state.isolated = false;
    state.role = ownership_role::bystander;
    state.storedRecordOutdated = false;
    state.lastHeartbeatAt = now;
    state.recordRequestPending = false;
    requestRecord(state, now, actions);
}

void claimNewRange(group_ownership &state, time_point now, ownership_actions &actions)
{
    state.role = ownership_role::claiming;
    state.claimStartedAt = now;
    requestRecord(state, now, actions);
    logMessage(actions, "requests a new range of terms for " + state.group.value());
}

void tickRecord(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (state.storedRecordOutdated && !state.recordRequestPending && now - state.recordRequestedAt >= state.settings.platformReplyTimeout) {
        requestRecord(state, now, actions);
    }
    const bool isRecordedOwner = !state.record.ranges.empty() && state.record.ranges.front().holder == state.self;
    const bool due = now - state.recordRequestedAt >= state.settings.deputyRefreshInterval;
    if (isRecordedOwner && due && !state.recordRequestPending && !state.resigning && (lacksDeputies(state) || needsTerms(state))) {
        writeClaim(state, now, actions);
    }
}

void tickHeartbeats(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now - state.heartbeatSentAt < state.settings.heartbeatInterval) {
        return;
    }
    state.heartbeatSentAt = now;
    for (const term_range &range : state.record.ranges) {
        if (range.holder == state.self) {
            continue;
        }
        const bool handsOver = state.resigning || state.isolated;
        actions.emplace_back(send_heartbeat{range.holder, state.term, state.record.version, handsOver});
    }
}

void tickBystander(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now >= recordPollDueAt(state)) {
        requestRecord(state, now, actions);
    }
}

void tickDeputy(group_ownership &state, time_point now, ownership_actions &actions)
{
    const duration overdue = now - takeoverDueAt(state);
    if (overdue >= state.settings.processPauseThreshold) {
        // This process was paused; the owner may have sent heartbeats meanwhile.
        state.lastHeartbeatAt = now;
        return;
    }
    if (overdue >= duration{}) {
        claim(state, now, actions, "its owner sends no heartbeats");
        return;
    }
    if (now >= resignationTakeoverDueAt(state)) {
        state.ownerResignsSince = time_point{};
        claim(state, now, actions, "its owner resigns");
    }
}

void tickClaiming(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now - state.claimStartedAt < state.settings.platformReplyTimeout) {
        return;
    }
    const std::optional<std::size_t> index = ownHolderIndex(state);
    if (!index || state.record.ranges[*index].last <= state.term) {
        if (now - state.recordRequestedAt >= state.settings.orderRetryInterval) {
            requestRecord(state, now, actions);
        }
        return;
    }
    term_range range = state.record.ranges[*index];
    if (range.first <= state.term) {
        range.first = term_number(state.term.value() + 1);
    }
    logMessage(actions, "takes over " + state.group.value() + " with its own range, without an answer from the platform");
    state.storedRecordOutdated = true;
    becomeOwner(state, range, now, actions);
}

void onRecordRead(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.recordRequestPending = false;
    if (state.role != ownership_role::owner && state.role != ownership_role::claiming) {
        adoptRecord(state, record, now, actions);
        return;
    }
    const bool isRecordedOwner = !record.ranges.empty() && record.ranges.front().holder == state.self;
    if (isRecordedOwner) {
        state.record = record;
        state.storedRecordOutdated = false;
        if (state.role == ownership_role::claiming) {
            if (record.ranges.front().last > state.term) {
                term_range range = record.ranges.front();
                range.first = std::max(range.first, term_number(state.term.value() + 1));
                becomeOwner(state, range, now, actions);
                return;
            }
            writeClaim(state, now, actions);
        }
        return;
    }
    const bool replaced = !record.ranges.empty() && record.version > state.record.version && record.ranges.front().first > state.term;
    if (replaced) {
        loseOwnership(state, now, actions, "the record names another owner");
        state.recordRequestPending = false;
        adoptRecord(state, record, now, actions);
        return;
    }
    state.record = record;
    writeClaim(state, now, actions);
}

void onRecordWritten(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.recordRequestPending = false;
    state.record = record;
    state.storedRecordOutdated = false;
    if (state.role == ownership_role::claiming) {
        becomeOwner(state, record.ranges.front(), now, actions);
    }
    if (state.role != ownership_role::owner) {
        adoptRecord(state, record, now, actions);
    }
    // An owner that had to start without the platform keeps its current, lower term: the new
    // range is for its later terms.
    if (state.role == ownership_role::owner && state.ownRange.last < record.ranges.front().first) {
        state.ownRange = term_range{state.self, state.address, record.ranges.front().first, record.ranges.front().last};
    }
}

void onRecordRequestFailed(group_ownership &state, time_point now)
{
    state.recordRequestPending = false;
    // The record is read back at the poll interval to find out whether a write took effect.
    state.recordRequestedAt = now;
}

void onHeartbeat(group_ownership &state, const heartbeat_received &heartbeat, time_point now, ownership_actions &actions)
{
    if (state.role == ownership_role::owner) {
        if (heartbeat.term > state.term) {
            loseOwnership(state, now, actions, "another owner has a higher term");
        }
        return;
    }
    if (isStale(state, heartbeat) || (state.role == ownership_role::claiming && heartbeat.term < state.term)) {
        return;
    }
    state.ownerTerm = heartbeat.term;
    if (!heartbeat.resigning) {
        state.lastHeartbeatAt = now;
        // The owner was slow but alive. If the platform has stored the claim nevertheless, its answer tells.
        state.role = state.role == ownership_role::claiming ? ownership_role::deputy : state.role;
    }
    if (heartbeat.recordVersion > state.record.version) {
        requestRecord(state, now, actions);
    }
    if (!heartbeat.resigning) {
        state.ownerResignsSince = time_point{};
        return;
    }
    if (state.ownerResignsSince == time_point{}) {
        state.ownerResignsSince = now;
    }
    if (state.role == ownership_role::deputy) {
        tickDeputy(state, now, actions);
    }
}

void onResignation(group_ownership &state, ownership_actions &actions)
{
    state.resigning = true;
    state.heartbeatSentAt = time_point{};
    logMessage(actions, "resigns from " + state.group.value());
}

} // namespace mustardrouter
