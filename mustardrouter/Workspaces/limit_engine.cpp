#include "mustardrouter/Workspaces/limit_engine.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardrouter
{

namespace
{

/// A pool that is not the first of its slot stops after this time without a request.
constexpr duration poolIdleFor = std::chrono::seconds(2);
/// How long it is believed that an instance holds no loans.
constexpr duration noPoolFor = std::chrono::milliseconds(200);
/// Interval of questions to an instance that did not reply.
constexpr duration suspectInterval = std::chrono::milliseconds(300);
/// Pause before tokens are requested again that could not be decided.
constexpr duration retryPause = std::chrono::milliseconds(100);
/// Longest time for which a refusal is repeated without a request: loans or limits may have changed.
constexpr duration refusalValidFor = std::chrono::milliseconds(300);
/// Requests for spare tokens are collected for this time.
constexpr duration spareDelay = std::chrono::milliseconds(100);
/// A limit is not reached any more after this time without a refusal.
constexpr duration limitedFor = std::chrono::seconds(2);

void handleMessage(limit_engine &engine, const limit_message &message, time_point now);

/// Messages to this instance itself are handled at once.
void send(limit_engine &engine, const instance_name &to, limit_message message, time_point now)
{
    message.from = engine.settings.self;
    if (to == engine.settings.self) {
        handleMessage(engine, message, now);
        return;
    }
    engine.actions.emplace_back(send_limit_message{to, std::move(message)});
}

time_point nextStamp(limit_engine &engine, time_point now)
{
    engine.spender.lastStamp = std::max(engine.spender.lastStamp + duration(1), now);
    return engine.spender.lastStamp;
}

void reportShares(limit_engine &engine)
{
    report_limit_shares present{engine.ownership.owned, 0};
    for (std::size_t slot = 0; slot < engine.pool.slots.size(); ++slot) {
        present.poolSlots |= engine.pool.slots[slot].active ? 1U << slot : 0;
    }
    if (present.members != engine.reported.members || present.poolSlots != engine.reported.poolSlots) {
        engine.reported = present;
        engine.actions.emplace_back(present);
    }
}

// The pool

void activate(limit_engine &engine, limit_pool_slot &slot, time_point now)
{
    slot.askedAt = now;
    if (slot.active || engine.ownership.leaving) {
        return;
    }
    slot.active = true;
    slot.lowSince = now;
}

bool hasLimits(const limit_pool_slot &slot)
{
    return !slot.buckets.empty();
}

/// Starts and ends the pools of the slots, and polls the members when that is due.
void checkPools(limit_engine &engine, time_point now)
{
    bool due = false;
    std::uint32_t polled = 0;
    for (std::uint32_t number = 0; number < engine.pool.slots.size(); ++number) {
        limit_pool_slot &slot = engine.pool.slots[number];
        advancePool(slot, engine.settings, now);
        const bool first = !engine.candidates[number].empty() && engine.candidates[number].front() == engine.settings.self;
        if (first && hasLimits(slot)) {
            activate(engine, slot, now);
        }
        if (slot.active && (!hasLimits(slot) || now - slot.askedAt > poolIdleFor)) {
            slot.active = false;
        }
        if (slot.active) {
            polled |= 1U << number;
            due = due || nextPoll(slot, engine.settings, engine.ownership.members.size()) <= now;
        }
    }
    if (!due) {
        return;
    }
    const time_point stamp = nextStamp(engine, now);
    for (std::uint32_t number = 0; number < engine.pool.slots.size(); ++number) {
        if ((polled & (1U << number)) != 0) {
            engine.pool.slots[number].polledAt = stamp;
        }
    }
    const std::vector<instance_name> members = engine.ownership.members;
    for (const instance_name &member : members) {
        send(engine, member, {{}, limit_poll{stamp, polled}}, now);
    }
}

// Requests for tokens

void probeSuspect(limit_engine &engine, const instance_name &name, pool_contact &contact, time_point now)
{
    if (now - contact.suspectedAt >= suspectInterval) {
        contact.suspectedAt = now;
        send(engine, name, {{}, limit_request{nextStamp(engine, now), {}}}, now);
    }
}

/// The pool to be asked for tokens of the slot; nothing if all are to be tried again later.
std::optional<instance_name> choosePool(limit_engine &engine, std::uint32_t slot, time_point now)
{
    bool anyReplies = false;
    for (const instance_name &candidate : engine.candidates[slot]) {
        pool_contact &contact = engine.spender.contacts[candidate];
        if (contact.suspected) {
            probeSuspect(engine, candidate, contact, now);
            continue;
        }
        if (contact.noPoolUntil <= now) {
            return candidate;
        }
        anyReplies = true;
    }
    // Nobody in reach collects shares: this instance's own one is left.
    if (!anyReplies && engine.spender.contacts[engine.settings.self].noPoolUntil <= now) {
        return engine.settings.self;
    }
    return std::nullopt;
}

void ask(limit_engine &engine, const workspace_name &workspace, limit_use &use, time_point now)
{
    if (use.requested) {
        return;
    }
    std::optional<instance_name> pool;
    if (use.askNotBefore <= now) {
        pool = choosePool(engine, slotOf(engine.settings, workspace), now);
        use.askNotBefore = pool ? use.askNotBefore : now + retryPause;
    }
    if (!pool) {
        engine.spender.toRetry.insert(workspace);
        return;
    }
    engine.spender.toAskAhead.erase(workspace);
    limit_request &request = engine.requests[*pool];
    if (request.asks.empty()) {
        request.stamp = nextStamp(engine, now);
    }
    request.asks.push_back(askFor(use, engine.settings, workspace, now));
    use.requested = request.stamp;
    limit_request_sent &sent = engine.spender.sent[request.stamp];
    sent.pool = *pool;
    sent.workspaces.push_back(workspace);
}

/// Sends the requests of the present event. Replies of this instance itself may lead to further ones.
void sendRequests(limit_engine &engine, time_point now)
{
    for (int round = 0; round < 8 && !engine.requests.empty(); ++round) {
        const auto requests = std::exchange(engine.requests, {});
        for (const auto &[pool, request] : requests) {
            send(engine, pool, {{}, request}, now);
        }
    }
}

void askAheadIfWanted(limit_engine &engine, const workspace_name &workspace, limit_use &use, time_point now)
{
    if (!wantsAhead(use, engine.settings, now)) {
        return;
    }
    if (engine.spender.toAskAhead.empty()) {
        engine.spender.askAheadAt = now + spareDelay;
    }
    engine.spender.toAskAhead.insert(workspace);
    if (quickTokens(use) > 0) {
        // Demand that uses tokens faster than requests are collected.
        ask(engine, workspace, use, now);
    }
}

void giveUpSpareTokens(limit_engine &engine, time_point now)
{
    if (!engine.spender.spareEndsAt || now < *engine.spender.spareEndsAt) {
        return;
    }
    engine.spender.spareEndsAt.reset();
    for (auto &[name, use] : engine.spender.uses) {
        if (giveUpSpare(use, now)) {
            askAheadIfWanted(engine, name, use, now);
        }
        for (const held_tokens &tokens : use.tokens) {
            const time_point ends = givenUpAt(tokens.until);
            if (tokens.spare && (!engine.spender.spareEndsAt || ends < *engine.spender.spareEndsAt)) {
                engine.spender.spareEndsAt = ends;
            }
        }
    }
}

/// A request was not replied to.
void onNoReply(limit_engine &engine, time_point stamp, time_point now)
{
    const auto found = engine.spender.sent.find(stamp);
    if (found == engine.spender.sent.end()) {
        return;
    }
    const limit_request_sent sent = std::move(found->second);
    engine.spender.sent.erase(found);
    pool_contact &contact = engine.spender.contacts[sent.pool];
    contact.suspectedAt = contact.suspected ? contact.suspectedAt : now;
    contact.suspected = sent.pool != engine.settings.self;
    for (const workspace_name &name : sent.workspaces) {
        const auto use = engine.spender.uses.find(name);
        if (use == engine.spender.uses.end() || use->second.requested != stamp) {
            continue;
        }
        use->second.requested.reset();
        if (!use->second.waiting.empty()) {
            ask(engine, name, use->second, now);
        }
    }
}

void onGrant(limit_engine &engine, const instance_name &from, const limit_grants &reply, const limit_grant &grant, time_point now)
{
    const auto found = engine.spender.uses.find(grant.workspace);
    if (found == engine.spender.uses.end() || found->second.requested != reply.stamp) {
        return;
    }
    limit_use &use = found->second;
    use.requested.reset();
    if (grant.status != grant_status::decided) {
        if (grant.status == grant_status::noPool) {
            engine.spender.contacts[from].noPoolUntil = now + noPoolFor;
        } else {
            use.askNotBefore = now + retryPause;
        }
        if (!use.waiting.empty()) {
            ask(engine, grant.workspace, use, now);
        }
        return;
    }
    if (grant.tokens > 0) {
        use.tokens.push_back({reply.stamp + grantTime(engine.settings), grant.tokens, false, reply.tenure});
    }
    if (grant.spare > 0) {
        use.tokens.push_back({reply.stamp + engine.settings.spareTime, grant.spare, true, reply.tenure});
        const time_point ends = givenUpAt(use.tokens.back().until);
        engine.spender.spareEndsAt = engine.spender.spareEndsAt ? std::min(*engine.spender.spareEndsAt, ends) : ends;
    }
    if (grant.retryAfter > duration{}) {
        use.tokenAt = now + grant.retryAfter;
        use.refusedUntil = now + std::min(grant.retryAfter, refusalValidFor);
    }
    if (!use.waiting.empty()) {
        engine.actions.emplace_back(resume_workspace{grant.workspace});
    }
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_poll &poll, time_point now)
{
    updateOwnership(engine.ownership, engine.settings, now);
    send(engine, from, {{}, onPoll(engine.lender, engine.ownership, engine.settings, engine.candidates, from, poll, now)}, now);
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_loans &loans, time_point now)
{
    const std::uint32_t toReturn = onLoans(engine.pool, engine.settings, from, loans, now);
    for (std::uint32_t slot = 0; slot < engine.pool.slots.size(); ++slot) {
        if ((toReturn & (1U << slot)) != 0) {
            send(engine, from, {{}, limit_return{engine.pool.slots[slot].polledAt, 1U << slot}}, now);
        }
    }
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_return &returned, time_point now)
{
    onReturn(engine.lender, from, returned, now);
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_request &request, time_point now)
{
    for (const limit_ask &asked : request.asks) {
        activate(engine, engine.pool.slots[slotOf(engine.settings, asked.workspace)], now);
    }
    checkPools(engine, now);
    send(engine, from, {{}, onRequest(engine.pool, engine.settings, request, now)}, now);
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_grants &reply, time_point now)
{
    const auto sent = engine.spender.sent.find(reply.stamp);
    if (sent == engine.spender.sent.end() || sent->second.pool != from) {
        return;
    }
    engine.spender.sent.erase(sent);
    for (const limit_grant &grant : reply.grants) {
        onGrant(engine, from, reply, grant, now);
    }
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_join &, time_point now)
{
    onJoinHeard(engine.ownership, engine.settings, from, now);
    send(engine, from, {{}, limit_join_known{}}, now);
}

void onMessageContent(limit_engine &engine, const instance_name &from, const limit_join_known &, time_point now)
{
    onCounted(engine.ownership, from, now);
}

void handleMessage(limit_engine &engine, const limit_message &message, time_point now)
{
    std::visit(
        [&](const auto &content) {
            onMessageContent(engine, message.from, content, now);
        },
        message.content);
}

/// Ends what every event handler begins.
void finishEvent(limit_engine &engine, time_point now)
{
    sendRequests(engine, now);
    reportShares(engine);
}

limit_verdict refuse(limit_engine &engine, const workspace_name &workspace, limit_use &use, std::uint64_t waiter, time_point now)
{
    use.waiting.erase(waiter);
    use.refusals += 1;
    use.refused += 1;
    if (!use.lastRefusedAt) {
        engine.spender.limited.insert(workspace);
        engine.actions.emplace_back(report_limit{workspace, true, 0});
    }
    use.lastRefusedAt = now;
    return {limit_decision::refuse, std::max(use.tokenAt - now, duration(1))};
}

/// `taking`: uses a token if there is one.
limit_verdict decide(limit_engine &engine, const workspace_name &workspace, std::uint64_t waiter, bool taking, time_point now)
{
    if (!engine.limits.contains(workspace)) {
        return {};
    }
    limit_use &use = engine.spender.uses[workspace];
    dropLapsed(use, now);
    if (taking && takeToken(use, now)) {
        use.waiting.erase(waiter);
        use.operations += 1;
        recordDemand(use, now);
        askAheadIfWanted(engine, workspace, use, now);
        finishEvent(engine, now);
        return {};
    }
    if (!taking && !use.tokens.empty()) {
        return {};
    }
    if (now < use.refusedUntil) {
        return refuse(engine, workspace, use, waiter, now);
    }
    use.waiting[waiter] = now;
    ask(engine, workspace, use, now);
    finishEvent(engine, now);
    // This instance may be the pool, and have decided at once.
    dropLapsed(use, now);
    if (!use.tokens.empty()) {
        return taking ? decide(engine, workspace, waiter, taking, now) : limit_verdict{};
    }
    if (now < use.refusedUntil) {
        return refuse(engine, workspace, use, waiter, now);
    }
    return {limit_decision::wait, {}};
}

} // namespace

limit_engine::limit_engine(limit_settings engineSettings)
    : settings(std::move(engineSettings))
    , candidates(settings.slots)
{
    lender.slots.resize(settings.slots);
    pool.tenure = settings.tenure;
    pool.slots.resize(settings.slots);
}

void onLimitInstances(limit_engine &engine, const std::vector<limit_instance> &listed, time_point now)
{
    const bool firstList = !engine.ownership.listReceived;
    onOwnershipList(engine.ownership, engine.settings, listed, now);
    if (firstList) {
        engine.pool.startedAt = now;
        engine.lender.nothingSpentBefore = engine.settings.isFirstSystemStart && engine.ownership.uncounted.has_value();
    }
    std::vector<weighted_instance> ranked;
    std::vector<instance_name> names;
    for (const limit_instance &instance : listed) {
        if (!instance.leaving && !instance.unresponsive && instance.capacity > 0) {
            ranked.push_back({instance.name.value(), instance.capacity});
            names.push_back(instance.name);
        }
    }
    for (std::uint32_t slot = 0; slot < engine.settings.slots; ++slot) {
        engine.candidates[slot].clear();
        const std::string key = "limit pool " + std::to_string(slot);
        for (const std::size_t index : rankTopByWeight(key, ranked, engine.settings.poolCandidates)) {
            engine.candidates[slot].push_back(names[index]);
        }
    }
    std::erase_if(engine.spender.contacts, [&](const auto &contact) {
        return std::ranges::none_of(engine.candidates, [&](const std::vector<instance_name> &pools) {
            return std::ranges::find(pools, contact.first) != pools.end();
        });
    });
    onLimitTimer(engine, now);
}

void onLimits(limit_engine &engine, const std::map<workspace_name, workspace_limit> &limits, time_point now)
{
    if (engine.limits == limits) {
        return;
    }
    engine.limits = limits;
    onPoolLimits(engine.pool, engine.settings, limits, now);
    for (auto &[name, use] : engine.spender.uses) {
        // A limit may have been raised.
        use.refusedUntil = {};
        if (!use.waiting.empty()) {
            engine.actions.emplace_back(resume_workspace{name});
        }
    }
    onLimitTimer(engine, now);
}

void onLimitMessage(limit_engine &engine, const limit_message &message, time_point now)
{
    const auto contact = engine.spender.contacts.find(message.from);
    if (contact != engine.spender.contacts.end()) {
        contact->second.suspected = false;
    }
    handleMessage(engine, message, now);
    finishEvent(engine, now);
}

void onLimitPeerLost(limit_engine &engine, const instance_name &peer, time_point now)
{
    std::vector<time_point> lost;
    for (const auto &[stamp, sent] : engine.spender.sent) {
        if (sent.pool == peer) {
            lost.push_back(stamp);
        }
    }
    for (const time_point stamp : lost) {
        onNoReply(engine, stamp, now);
    }
    finishEvent(engine, now);
}

void onLimitStop(limit_engine &engine, time_point now)
{
    engine.ownership.leaving = true;
    onOwnershipList(engine.ownership, engine.settings, std::vector(engine.ownership.listed), now);
    for (std::uint32_t number = 0; number < engine.pool.slots.size(); ++number) {
        limit_pool_slot &slot = engine.pool.slots[number];
        advancePool(slot, engine.settings, now);
        slot.active = false;
        const auto loans = std::exchange(slot.loans, {});
        slot.share = 0;
        for (const auto &[member, loan] : loans) {
            slot.returnedUpTo[member] = slot.polledAt;
            send(engine, member, {{}, limit_return{slot.polledAt, 1U << number}}, now);
        }
    }
    finishEvent(engine, now);
}

void onLimitTimer(limit_engine &engine, time_point now)
{
    updateOwnership(engine.ownership, engine.settings, now);
    if (!engine.limits.empty()) {
        for (const instance_name &name : joinsToSend(engine.ownership, now)) {
            send(engine, name, {{}, limit_join{}}, now);
        }
    }
    checkPools(engine, now);
    while (!engine.spender.sent.empty() && now - engine.spender.sent.begin()->first >= engine.settings.replyTimeout) {
        onNoReply(engine, engine.spender.sent.begin()->first, now);
    }
    for (const workspace_name &name : std::exchange(engine.spender.toRetry, {})) {
        limit_use &use = engine.spender.uses[name];
        if (use.waiting.empty()) {
            continue;
        }
        if (use.askNotBefore > now) {
            engine.spender.toRetry.insert(name);
            continue;
        }
        ask(engine, name, use, now);
    }
    giveUpSpareTokens(engine, now);
    if (!engine.spender.toAskAhead.empty() && engine.spender.askAheadAt <= now) {
        for (const workspace_name &name : std::exchange(engine.spender.toAskAhead, {})) {
            limit_use &use = engine.spender.uses[name];
            if (wantsAhead(use, engine.settings, now)) {
                ask(engine, name, use, now);
            }
        }
    }
    std::erase_if(engine.spender.limited, [&](const workspace_name &name) {
        limit_use &use = engine.spender.uses[name];
        if (now - *use.lastRefusedAt < limitedFor) {
            return false;
        }
        engine.actions.emplace_back(report_limit{name, false, use.refused});
        use.lastRefusedAt.reset();
        use.refused = 0;
        return true;
    });
    finishEvent(engine, now);
}

std::optional<time_point> nextLimitTimer(const limit_engine &engine)
{
    if (engine.limits.empty()) {
        return std::nullopt;
    }
    std::optional<time_point> next = nextOwnershipChange(engine.ownership, engine.settings);
    const auto include = [&](time_point due) {
        next = next ? std::min(*next, due) : due;
    };
    for (const limit_pool_slot &slot : engine.pool.slots) {
        if (slot.active) {
            include(nextPoll(slot, engine.settings, engine.ownership.members.size()));
        }
    }
    if (!engine.spender.sent.empty()) {
        include(engine.spender.sent.begin()->first + engine.settings.replyTimeout);
    }
    if (engine.spender.spareEndsAt) {
        include(*engine.spender.spareEndsAt);
    }
    if (!engine.spender.toAskAhead.empty()) {
        include(engine.spender.askAheadAt);
    }
    for (const workspace_name &name : engine.spender.toRetry) {
        include(engine.spender.uses.at(name).askNotBefore);
    }
    for (const workspace_name &name : engine.spender.limited) {
        include(*engine.spender.uses.at(name).lastRefusedAt + limitedFor);
    }
    return next;
}

limit_verdict checkLimit(limit_engine &engine, const workspace_name &workspace, std::uint64_t waiter, time_point now)
{
    return decide(engine, workspace, waiter, false, now);
}

limit_verdict spend(limit_engine &engine, const workspace_name &workspace, std::uint64_t waiter, time_point now)
{
    return decide(engine, workspace, waiter, true, now);
}

} // namespace mustardrouter
