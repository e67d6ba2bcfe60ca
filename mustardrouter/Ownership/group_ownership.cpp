#include "mustardrouter/Ownership/group_ownership.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <type_traits>

namespace mustardrouter
{

namespace
{

database_view *findMutable(group_ownership &state, const database_name &name)
{
    const auto found = std::ranges::find(state.databases, name, &database_view::name);
    return found == state.databases.end() ? nullptr : &*found;
}

std::optional<std::size_t> ownIndex(const group_ownership &state)
{
    for (std::size_t index = 0; index < state.record.ranges.size(); ++index) {
        if (state.record.ranges[index].holder == state.self) {
            return index;
        }
    }
    return std::nullopt;
}

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

void note(ownership_actions &actions, std::string text)
{
    actions.emplace_back(ownership_note{std::move(text)});
}

void askRecord(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (state.platformAsked) {
        return;
    }
    state.platformAsked = true;
    state.recordAskedAt = now;
    actions.emplace_back(read_record{});
}

void writeClaim(group_ownership &state, time_point now, ownership_actions &actions)
{
    state.platformAsked = true;
    state.recordAskedAt = now;
    actions.emplace_back(write_record{nextRecord(state.record, highestTermSeen(state), holdersWithSelfFirst(state))});
}

void orderFence(group_ownership &state, database_view &view, time_point now, ownership_actions &actions)
{
    view.orderedAt = now;
    actions.emplace_back(order_fence{view.name, state.term});
}

void beginFencing(group_ownership &state, time_point now, ownership_actions &actions)
{
    state.phase = promotion_phase::fencing;
    state.phaseStartedAt = now;
    state.quorumAt = time_point{};
    state.barrier = log_entry{};
    for (database_view &view : state.databases) {
        view.answeredFence = false;
        view.report.inSync = false;
        orderFence(state, view, now, actions);
    }
}

void becomeOwner(group_ownership &state, const term_range &range, time_point now, ownership_actions &actions)
{
    state.role = ownership_role::owner;
    state.ownRange = range;
    state.term = range.first;
    state.heartbeatAt = time_point{};
    for (database_view &view : state.databases) {
        // Silence is counted from the takeover on, never from before it.
        view.heardAt = now;
        view.reachable = true;
    }
    note(actions, "owns " + state.group.value() + " from term " + std::to_string(state.term.value()));
    beginFencing(state, now, actions);
}

void loseOwnership(group_ownership &state, time_point now, ownership_actions &actions, const char *reason)
{
    if (state.role == ownership_role::owner) {
        actions.emplace_back(term_ended{state.term, true});
        note(actions, "gives up " + state.group.value() + ": " + reason);
    }
    state.role = ownership_role::bystander;
    state.recordOutdated = false;
    state.ownerHeardAt = now;
    state.platformAsked = false;
    askRecord(state, now, actions);
}

/// Moves the owner to its next term. Runs out of terms only after many failed promotions.
void advanceTerm(group_ownership &state, time_point now, ownership_actions &actions)
{
    const term_number next(state.term.value() + 1);
    if (state.ownRange.last < next) {
        state.role = ownership_role::claiming;
        state.claimedAt = now;
        askRecord(state, now, actions);
        note(actions, "needs a new range of terms for " + state.group.value());
        return;
    }
    state.term = next;
    beginFencing(state, now, actions);
}

void replacePrimary(group_ownership &state, time_point now, ownership_actions &actions, const std::string &reason)
{
    note(actions, "replaces the primary " + state.primary.value() + ": " + reason);
    if (state.phase == promotion_phase::serving) {
        actions.emplace_back(term_ended{state.term, false});
    }
    advanceTerm(state, now, actions);
}

void claim(group_ownership &state, time_point now, ownership_actions &actions, const char *reason)
{
    note(actions, "claims " + state.group.value() + ": " + reason);
    state.role = ownership_role::claiming;
    state.claimedAt = now;
    writeClaim(state, now, actions);
}

/// The answer with the highest entry, or the preferred one when it lacks nothing.
const database_view *choosePrimary(const group_ownership &state)
{
    const database_view *best = nullptr;
    for (const database_view &view : state.databases) {
        if (!view.answeredFence) {
            continue;
        }
        if (best == nullptr || best->report.received < view.report.received) {
            best = &view;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const auto equallyGood = [&](const database_view &view) {
        return view.answeredFence && view.report.received == best->report.received;
    };
    for (const database_view &view : state.databases) {
        const bool wanted = state.preferredPrimary == view.name || (!state.preferredPrimary && view.name == state.primary);
        if (wanted && equallyGood(view)) {
            return &view;
        }
    }
    return best;
}

std::size_t fenceAnswers(const group_ownership &state)
{
    return static_cast<std::size_t>(std::ranges::count(state.databases, true, &database_view::answeredFence));
}

void beginPromoting(group_ownership &state, time_point now, ownership_actions &actions)
{
    const database_view *best = choosePrimary(state);
    assert(best != nullptr);
    state.primary = best->name;
    state.preferredPrimary.reset();
    state.phase = promotion_phase::promoting;
    state.phaseStartedAt = now;
    actions.emplace_back(order_promote{state.primary, state.term});
}

void orderFollow(group_ownership &state, database_view &view, time_point now, ownership_actions &actions)
{
    view.orderedAt = now;
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
    actions.emplace_back(term_started{state.term, state.primary, state.barrier});
    note(actions,
         "serves " + state.group.value() + " in term " + std::to_string(state.term.value()) + " with primary " + state.primary.value());
}

void tickFencing(group_ownership &state, time_point now, ownership_actions &actions)
{
    const std::size_t answers = fenceAnswers(state);
    if (answers >= fenceQuorum(state)) {
        if (state.quorumAt == time_point{}) {
            state.quorumAt = now;
        }
        if (answers == state.databases.size() || now - state.quorumAt >= state.settings.fenceGrace) {
            beginPromoting(state, now, actions);
            return;
        }
    }
    for (database_view &view : state.databases) {
        if (view.answeredFence || now - view.orderedAt < state.settings.orderRetry) {
            continue;
        }
        orderFence(state, view, now, actions);
    }
}

void tickPromoted(group_ownership &state, time_point now, ownership_actions &actions)
{
    for (database_view &view : state.databases) {
        if (view.name == state.primary || now - view.orderedAt < state.settings.orderRetry) {
            continue;
        }
        const bool follows = view.report.term == state.term && view.report.role == database_role::replica;
        if (!follows) {
            orderFollow(state, view, now, actions);
        }
    }
    const database_view *primary = findDatabase(state, state.primary);
    assert(primary != nullptr);
    if (now - primary->heardAt >= state.settings.primarySuspicion) {
        replacePrimary(state, now, actions, "silent");
    }
}

void tickProbes(group_ownership &state, time_point now, ownership_actions &actions)
{
    bool due = false;
    for (const database_view &view : state.databases) {
        due = due || now - view.probedAt >= state.settings.probeInterval;
    }
    if (due) {
        startRound(state, now, actions);
    }
}

void tickHeartbeats(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now - state.heartbeatAt < state.settings.heartbeatInterval) {
        return;
    }
    state.heartbeatAt = now;
    for (const term_range &range : state.record.ranges) {
        if (range.holder == state.self) {
            continue;
        }
        actions.emplace_back(send_heartbeat{range.holder, state.term, state.primary, state.record.version, state.resigning});
    }
}

bool isLive(const group_ownership &state, const instance_name &name)
{
    if (state.live) {
        return state.live->contains(name);
    }
    return std::ranges::find(state.ranking, name, &term_range::holder) != state.ranking.end();
}

/// Whether a deputy has gone while another instance could take its place.
bool lacksDeputies(const group_ownership &state)
{
    const std::vector<term_range> wanted = holdersWithSelfFirst(state);
    std::size_t living = 0;
    for (const term_range &range : state.record.ranges) {
        living += range.holder == state.self || isLive(state, range.holder) ? 1U : 0U;
    }
    return living < wanted.size();
}

void tickDeputies(group_ownership &state, time_point now, ownership_actions &actions)
{
    const bool ours = !state.record.ranges.empty() && state.record.ranges.front().holder == state.self;
    const bool due = now - state.recordAskedAt >= state.settings.deputyRefreshInterval;
    if (ours && due && !state.platformAsked && !state.resigning && lacksDeputies(state)) {
        writeClaim(state, now, actions);
    }
}

void tickOwner(group_ownership &state, time_point now, ownership_actions &actions)
{
    tickHeartbeats(state, now, actions);
    tickDeputies(state, now, actions);
    if (state.recordOutdated && !state.platformAsked && now - state.recordAskedAt >= state.settings.platformPatience) {
        askRecord(state, now, actions);
    }
    switch (state.phase) {
    case promotion_phase::fencing:
        tickFencing(state, now, actions);
        break;
    case promotion_phase::promoting:
        if (now - state.phaseStartedAt >= state.settings.promotionPatience) {
            replacePrimary(state, now, actions, "did not take the promotion");
        }
        break;
    case promotion_phase::confirming:
    case promotion_phase::serving:
        tickPromoted(state, now, actions);
        break;
    }
    tickProbes(state, now, actions);
}

bool isFirstCandidate(const group_ownership &state)
{
    return !state.ranking.empty() && state.ranking.front().holder == state.self;
}

/// When a bystander reads the record next; the end of time when it is no candidate.
time_point recordPollDue(const group_ownership &state)
{
    const auto rank = static_cast<std::size_t>(std::ranges::find(state.ranking, state.self, &term_range::holder) - state.ranking.begin());
    if (rank >= std::min(holdersPerGroup, state.ranking.size())) {
        return time_point::max();
    }
    if (state.recordAskedAt == time_point{}) {
        return time_point::min();
    }
    const bool suspicious = state.record.ranges.empty() || state.holdersGoneSince != time_point{};
    return state.recordAskedAt + (suspicious ? state.settings.platformPatience : state.settings.recordPollInterval);
}

void tickBystander(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now >= recordPollDue(state)) {
        askRecord(state, now, actions);
    }
}

/// When a deputy relieves an owner that resigns; the end of time when it does not.
time_point reliefDue(const group_ownership &state)
{
    if (state.ownerResignsSince == time_point{}) {
        return time_point::max();
    }
    // The first deputy answers a resignation at once; a later one only if those before it do not.
    const std::size_t index = ownIndex(state).value_or(holdersPerGroup);
    return state.ownerResignsSince + state.settings.orderRetry * (static_cast<int>(index) - 1);
}

/// When a deputy that hears nothing takes over.
time_point takeoverDue(const group_ownership &state)
{
    const std::size_t recorded = ownIndex(state).value_or(holdersPerGroup);
    // An owner on record that has been replaced lets every deputy go first.
    const std::size_t index = recorded == 0 ? holdersPerGroup : recorded;
    return state.ownerHeardAt + state.settings.ownerSuspicion * static_cast<int>(index);
}

void tickDeputy(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now >= takeoverDue(state)) {
        claim(state, now, actions, "its owner is silent");
        return;
    }
    if (now >= reliefDue(state)) {
        state.ownerResignsSince = time_point{};
        claim(state, now, actions, "its owner resigns");
    }
}

void tickClaiming(group_ownership &state, time_point now, ownership_actions &actions)
{
    if (now - state.claimedAt < state.settings.platformPatience) {
        return;
    }
    const std::optional<std::size_t> index = ownIndex(state);
    if (!index || state.record.ranges[*index].last <= state.term) {
        if (!state.platformAsked) {
            askRecord(state, now, actions);
        }
        return;
    }
    term_range range = state.record.ranges[*index];
    if (range.first <= state.term) {
        range.first = term_number(state.term.value() + 1);
    }
    note(actions, "takes over " + state.group.value() + " without the platform");
    state.recordOutdated = true;
    becomeOwner(state, range, now, actions);
}

/// The list of instances lags: holders count as gone only when they have been missing for a while.
void claimIfAbandoned(group_ownership &state, time_point now, ownership_actions &actions)
{
    for (const term_range &range : state.record.ranges) {
        if (isLive(state, range.holder)) {
            state.holdersGoneSince = time_point{};
            return;
        }
    }
    if (state.holdersGoneSince == time_point{}) {
        state.holdersGoneSince = now;
    }
    if (isFirstCandidate(state) && now - state.holdersGoneSince >= state.settings.holdersGonePatience) {
        claim(state, now, actions, "none of its holders lives");
    }
}

void adoptRecord(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.record = record;
    const std::optional<std::size_t> index = ownIndex(state);
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
    if (*index > 0) {
        if (state.role != ownership_role::deputy) {
            state.ownerHeardAt = now;
        }
        state.role = ownership_role::deputy;
        return;
    }
    if (record.ranges.front().first > state.term) {
        becomeOwner(state, record.ranges.front(), now, actions);
        return;
    }
    // A deputy took over without the platform. Should it die before it is on record, nobody else
    // would claim the group: the record names a live instance.
    if (state.resigning) {
        return;
    }
    if (state.role != ownership_role::deputy) {
        state.ownerHeardAt = now;
    }
    state.role = ownership_role::deputy;
}

void onRecord(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.platformAsked = false;
    if (state.role != ownership_role::owner && state.role != ownership_role::claiming) {
        adoptRecord(state, record, now, actions);
        return;
    }
    const bool ours = !record.ranges.empty() && record.ranges.front().holder == state.self;
    if (ours) {
        state.record = record;
        state.recordOutdated = false;
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
        state.platformAsked = false;
        adoptRecord(state, record, now, actions);
        return;
    }
    state.record = record;
    writeClaim(state, now, actions);
}

void onRecordWritten(group_ownership &state, const ownership_record &record, time_point now, ownership_actions &actions)
{
    state.platformAsked = false;
    state.record = record;
    state.recordOutdated = false;
    if (state.role == ownership_role::claiming) {
        becomeOwner(state, record.ranges.front(), now, actions);
    }
    // An owner that had to start without the platform keeps its present, lower term: the new
    // range serves its later terms.
    if (state.role == ownership_role::owner && state.ownRange.last < record.ranges.front().first) {
        state.ownRange = term_range{state.self, state.address, record.ranges.front().first, record.ranges.front().last};
    }
}

void onHeartbeat(group_ownership &state, const heartbeat_received &beat, time_point now, ownership_actions &actions)
{
    if (state.role == ownership_role::owner) {
        if (beat.term > state.term) {
            loseOwnership(state, now, actions, "another owner has a higher term");
        }
        return;
    }
    if (state.role == ownership_role::claiming && beat.term < state.term) {
        return;
    }
    state.ownerHeardAt = now;
    if (beat.recordVersion > state.record.version) {
        askRecord(state, now, actions);
    }
    if (!beat.resigning) {
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
        tickFencing(state, now, actions);
        return;
    }
    const bool promoted = view.name == state.primary && view.report.role == database_role::primary;
    if (state.phase == promotion_phase::promoting && promoted) {
        beginConfirming(state, view.report.received, now, actions);
    }
    serveIfConfirmed(state, actions);
}

void onReport(group_ownership &state, const database_reported &event, time_point now, ownership_actions &actions)
{
    database_view *view = findMutable(state, event.database);
    if (view == nullptr) {
        return;
    }
    const std::uint64_t round = std::max(view->report.round, event.report.round);
    view->report = event.report;
    view->report.round = round;
    view->heardAt = now;
    view->reachable = true;
    if (state.role == ownership_role::owner) {
        onOwnerReport(state, *view, now, actions);
    }
}

void onUnreachable(group_ownership &state, const database_unreachable &event, time_point now, ownership_actions &actions)
{
    database_view *view = findMutable(state, event.database);
    if (view == nullptr) {
        return;
    }
    view->reachable = false;
    view->report.inSync = false;
    const bool promoted = state.phase == promotion_phase::confirming || state.phase == promotion_phase::serving;
    if (state.role == ownership_role::owner && promoted && event.database == state.primary) {
        replacePrimary(state, now, actions, "its connection broke");
    }
}

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
        tickOwner(state, now, actions);
        break;
    }
}

void onUnanswered(group_ownership &state, time_point now)
{
    state.platformAsked = false;
    // Reading back tells whether a write took effect; the poll interval paces it.
    state.recordAskedAt = now;
}

void onPrimaryChange(group_ownership &state, const primary_change_requested &event, time_point now, ownership_actions &actions)
{
    if (!isServing(state)) {
        return;
    }
    state.preferredPrimary = event.to;
    replacePrimary(state, now, actions, "an operator asked for it");
}

void onResignation(group_ownership &state, ownership_actions &actions)
{
    state.resigning = true;
    state.heartbeatAt = time_point{};
    note(actions, "resigns from " + state.group.value());
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
            } else if constexpr (std::is_same_v<event_type, candidates_changed>) {
                state.ranking = what.ranking;
                state.live = what.live;
            } else if constexpr (std::is_same_v<event_type, record_read>) {
                onRecord(state, what.record, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_written>) {
                onRecordWritten(state, what.record, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_conflict>) {
                state.platformAsked = false;
                askRecord(state, now, actions);
            } else if constexpr (std::is_same_v<event_type, record_unanswered>) {
                onUnanswered(state, now);
            } else if constexpr (std::is_same_v<event_type, heartbeat_received>) {
                onHeartbeat(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, database_reported>) {
                onReport(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, database_unreachable>) {
                onUnreachable(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, term_refused>) {
                if (state.role == ownership_role::owner && what.term > state.term) {
                    loseOwnership(state, now, actions, "a database refused its term");
                }
            } else if constexpr (std::is_same_v<event_type, primary_change_requested>) {
                onPrimaryChange(state, what, now, actions);
            } else if constexpr (std::is_same_v<event_type, resignation_requested>) {
                onResignation(state, actions);
            }
        },
        event);
}

time_point nextWakeup(const group_ownership &state)
{
    switch (state.role) {
    case ownership_role::bystander:
        return recordPollDue(state);
    case ownership_role::deputy:
        return std::min(takeoverDue(state), reliefDue(state));
    case ownership_role::claiming:
    case ownership_role::owner:
        break;
    }
    return time_point::min();
}

bool isServing(const group_ownership &state)
{
    return state.role == ownership_role::owner && state.phase == promotion_phase::serving;
}

log_position confirmedPosition(const group_ownership &state)
{
    const std::size_t needed = state.settings.confirmReplicas;
    const database_view *primary = findDatabase(state, state.primary);
    if (primary == nullptr) {
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

std::size_t replicasPastRound(const group_ownership &state, std::uint64_t round)
{
    std::size_t count = 0;
    for (const database_view &view : state.databases) {
        if (view.name == state.primary || view.report.term != state.term) {
            continue;
        }
        if (view.report.round >= round) {
            ++count;
        }
    }
    return count;
}

std::uint64_t startRound(group_ownership &state, time_point now, ownership_actions &actions)
{
    ++state.round;
    for (database_view &view : state.databases) {
        view.probedAt = now;
        actions.emplace_back(order_report{view.name, state.round});
    }
    return state.round;
}

const database_view *findDatabase(const group_ownership &state, const database_name &name)
{
    const auto found = std::ranges::find(state.databases, name, &database_view::name);
    return found == state.databases.end() ? nullptr : &*found;
}

} // namespace mustardrouter
