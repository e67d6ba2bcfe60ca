#include "mustardrouter/Routing/entry_router.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <type_traits>

namespace mustardrouter
{

namespace
{

constexpr duration defaultRetryAfter = std::chrono::milliseconds(50);

struct entry_step {
    entry_router &router;
    time_point now;
    entry_actions &actions;
};

void refuseCaller(entry_step &step, const caller_request_arrived &event, failure cause, std::string detail = {})
{
    answer_caller action;
    action.caller = event.caller;
    action.callerRequest = event.callerRequest;
    action.result = notRun(cause, std::move(detail), cause == failure::overloaded ? defaultRetryAfter : duration::zero());
    action.service = event.what.service;
    step.actions.emplace_back(std::move(action));
}

void answerAndRemove(entry_step &step, request_id id, statement_result result)
{
    const auto found = step.router.inFlight.find(id);
    if (found == step.router.inFlight.end()) {
        return;
    }
    entry_request &request = found->second;
    answer_caller action;
    action.caller = request.caller;
    action.callerRequest = request.callerRequest;
    action.service = request.what.service;
    action.group = request.group;
    action.owner = request.sentTo;
    action.elapsed = step.now - request.arrivedAt;
    action.attempts = request.attempts;
    if (result.floor) {
        raiseFloor(request.floors, request.group, *result.floor);
        action.token = encodeToken(request.floors, step.router.tokenKey);
    }
    action.result = std::move(result);
    step.router.inFlight.erase(found);
    step.actions.emplace_back(std::move(action));
}

void queryOwner(entry_step &step, const group_name &group)
{
    owner_candidates &candidates = step.router.owners[group];
    const bool recent =
        candidates.requestedAt != time_point{} && step.now - candidates.requestedAt < step.router.settings.ownerQueryInterval;
    if (recent) {
        return;
    }
    candidates.requestedAt = step.now;
    step.actions.emplace_back(find_owner{group});
}

void trySend(entry_step &step, request_id id)
{
    entry_request &request = step.router.inFlight.at(id);
    const bool inTransaction = request.what.transaction.value() != 0;
    if (!inTransaction) {
        const owner_candidates &candidates = step.router.owners[request.group];
        if (candidates.holders.empty()) {
            queryOwner(step, request.group);
            return;
        }
        request.sentTo = candidates.holders[candidates.current % candidates.holders.size()];
    }
    request.sent = true;
    request.sentAt = step.now;
    ++request.attempts;
    step.actions.emplace_back(forward_statement{id, request.sentTo, request.group, request.what});
}

void scheduleRetry(entry_step &step, entry_request &request)
{
    const entry_settings &settings = step.router.settings;
    constexpr std::uint32_t maxDoublings = 4;
    const std::uint32_t doublings = std::min(request.attempts, maxDoublings);
    request.sent = false;
    request.retryAt = step.now + std::min(settings.maxRetryBackoff, settings.retryBackoff * (1 << doublings));
}

const service *findService(const entry_router &router, const service_name &name)
{
    if (!router.configuration) {
        return nullptr;
    }
    const auto found = router.configuration->services.find(name.value());
    return found == router.configuration->services.end() ? nullptr : &found->second;
}

void applyPolicy(const entry_step &step, const service &target, const caller_request_arrived &event, statement &what)
{
    const configuration_snapshot &snapshot = *step.router.configuration;
    const session_policy &policy = snapshot.policies.at(target.sessionPolicy);
    what.weight = policy.weight;
    if (!event.hasReadRule) {
        const named_read_rule &rule = snapshot.readRules.at(policy.readRule);
        what.rule = rule.rule;
        what.maxAge = rule.maxAge;
    }
    const duration timeout = event.timeout > duration::zero() ? event.timeout : policy.deadline;
    what.deadline = step.now + timeout;
}

bool isCallerAllowed(const service &target, const std::string &caller)
{
    return target.callers.empty() || std::ranges::find(target.callers, caller) != target.callers.end();
}

/// Routes a statement to the owner and group of its transaction, regardless of its partition; false if the caller has
/// no such transaction.
bool joinTransaction(const entry_step &step, const caller_request_arrived &event, entry_request &request)
{
    const auto found = step.router.transactions.find(event.what.transaction);
    const bool ownedByCaller = found != step.router.transactions.end() && found->second.caller == event.caller;
    if (!ownedByCaller) {
        return false;
    }
    request.sentTo = found->second.owner;
    request.group = found->second.group;
    request.transaction = event.what.transaction;
    request.what.transaction = found->second.ownerTransaction;
    return true;
}

void onCaller(entry_step &step, const caller_request_arrived &event)
{
    const service *target = findService(step.router, event.what.service);
    if (target == nullptr) {
        refuseCaller(step, event, failure::unknownService, "no service \"" + event.what.service.value() + "\"");
        return;
    }
    if (!isCallerAllowed(*target, event.callerName)) {
        refuseCaller(step, event, failure::callerNotAllowed);
        return;
    }
    auto floors = decodeToken(event.token, step.router.tokenKey);
    if (std::holds_alternative<failure>(floors)) {
        refuseCaller(step, event, failure::badSessionToken, "the session token was not made by this deployment");
        return;
    }
    if (step.router.inFlight.size() >= step.router.settings.maxInFlight) {
        refuseCaller(step, event, failure::overloaded);
        return;
    }
    if (event.what.nonIdempotent && event.what.key.value().empty()) {
        refuseCaller(step, event, failure::malformedRequest, "a non-idempotent request needs a key");
        return;
    }
    entry_request request;
    request.caller = event.caller;
    request.callerRequest = event.callerRequest;
    request.group = groupFor(*target, event.partition);
    request.what = event.what;
    request.floors = std::get<session_floors_by_group>(std::move(floors));
    request.arrivedAt = step.now;
    applyPolicy(step, *target, event, request.what);
    if (event.what.transaction.value() != 0 && !joinTransaction(step, event, request)) {
        refuseCaller(step, event, failure::transactionLost, "no such transaction on this connection");
        return;
    }
    const auto floor = request.floors.find(request.group);
    if (floor != request.floors.end()) {
        request.what.floor = floor->second;
    }
    const request_id id(step.router.nextRequest++);
    step.router.inFlight.emplace(id, std::move(request));
    trySend(step, id);
}

void abandon(entry_step &step, const entry_request &request, request_id id)
{
    if (!request.sent) {
        return;
    }
    step.actions.emplace_back(abandon_at_owner{id, request.sentTo, request.group, {}, request.what.session});
    if (request.what.kind == statement_kind::begin) {
        // The owner's answer may still arrive and name a transaction that no caller holds.
        const time_point forgetAt = std::max(step.now, request.what.deadline) + step.router.settings.orphanedBeginTtl;
        step.router.orphanedBegins.emplace(id, orphaned_begin{request.sentTo, request.group, request.what.session, forgetAt});
    }
}

/// Requests the rollback of a transaction if its caller no longer waited for the begin.
void rollBackOrphanedBegin(entry_step &step, const owner_answered &event)
{
    const auto found = step.router.orphanedBegins.find(event.request);
    if (found == step.router.orphanedBegins.end()) {
        return;
    }
    const orphaned_begin orphan = std::move(found->second);
    step.router.orphanedBegins.erase(found);
    if (event.result.kind == outcome::done) {
        step.actions.emplace_back(abandon_at_owner{{}, orphan.owner, orphan.group, event.result.transaction, orphan.session});
    }
}

void onCallerGone(entry_step &step, const caller_disconnected &event)
{
    std::erase_if(step.router.inFlight, [&](const auto &item) {
        if (item.second.caller != event.caller) {
            return false;
        }
        abandon(step, item.second, item.first);
        return true;
    });
    std::erase_if(step.router.transactions, [&](const auto &item) {
        if (item.second.caller != event.caller) {
            return false;
        }
        step.actions.emplace_back(
            abandon_at_owner{{}, item.second.owner, item.second.group, item.second.ownerTransaction, item.second.session});
        return true;
    });
}

/// Makes the hinted owner the current candidate; without a hint, the next holder.
void selectNextCandidate(entry_step &step, const group_name &group, const instance_name &wrong, const std::optional<instance_name> &owner)
{
    owner_candidates &candidates = step.router.owners[group];
    if (owner && *owner != wrong) {
        const auto found = std::ranges::find(candidates.holders, *owner);
        if (found == candidates.holders.end()) {
            candidates.holders.insert(candidates.holders.begin(), *owner);
            candidates.current = 0;
            return;
        }
        candidates.current = static_cast<std::size_t>(found - candidates.holders.begin());
        return;
    }
    const bool stillCurrent = !candidates.holders.empty() && candidates.holders[candidates.current % candidates.holders.size()] == wrong;
    if (stillCurrent) {
        candidates.current = (candidates.current + 1) % candidates.holders.size();
    }
    queryOwner(step, group);
}

/// Replaces the owner's transaction number in the result by the caller's, and adds or removes the transaction.
void translateTransaction(entry_step &step, const entry_request &request, statement_result &result)
{
    const bool began = request.what.kind == statement_kind::begin && result.kind == outcome::done;
    if (began) {
        const transaction_id id(step.router.nextTransaction++);
        step.router.transactions.emplace(
            id, entry_transaction{request.caller, request.sentTo, request.group, request.what.session, result.transaction});
        result.transaction = id;
        return;
    }
    result.transaction = request.transaction;
    const bool over = request.what.kind == statement_kind::commit || request.what.kind == statement_kind::rollback
                      || result.cause == failure::transactionLost;
    if (over) {
        step.router.transactions.erase(request.transaction);
        result.transaction = transaction_id{};
    }
}

void recordOwnerReply(entry_step &step, request_id id)
{
    const auto found = step.router.inFlight.find(id);
    if (found != step.router.inFlight.end()) {
        step.router.lastReplyAt[found->second.sentTo] = step.now;
    }
}

/// Suspects an owner that has answered nothing since the request was sent. A paused or partitioned owner sends no
/// redirect when it is replaced. Later requests go to the next holder; those already sent wait until their deadlines.
void suspectOwner(entry_step &step, entry_request &request)
{
    if (!request.sent || request.ownerSuspected || step.now - request.sentAt < step.router.settings.ownerResponseTimeout) {
        return;
    }
    request.ownerSuspected = true;
    const auto lastReply = step.router.lastReplyAt.find(request.sentTo);
    const bool unresponsive = lastReply == step.router.lastReplyAt.end() || lastReply->second <= request.sentAt;
    if (unresponsive) {
        selectNextCandidate(step, request.group, request.sentTo, std::nullopt);
    }
}

bool mayRetry(const entry_request &request, const statement_result &result)
{
    if (result.kind != outcome::notRun || request.what.transaction.value() != 0) {
        return false;
    }
    return result.cause == failure::notOwner || result.cause == failure::ownerUnreachable || result.cause == failure::shuttingDown;
}

void onAnswer(entry_step &step, const owner_answered &event)
{
    recordOwnerReply(step, event.request);
    const auto found = step.router.inFlight.find(event.request);
    if (found == step.router.inFlight.end()) {
        rollBackOrphanedBegin(step, event);
        return;
    }
    entry_request &request = found->second;
    if (mayRetry(request, event.result) && step.now < request.what.deadline) {
        selectNextCandidate(step, request.group, request.sentTo, event.owner);
        // The first redirect is followed immediately; repeated refusals are retried with backoff.
        scheduleRetry(step, request);
        if (event.owner && request.attempts <= 1) {
            request.retryAt = step.now;
            trySend(step, event.request);
        }
        return;
    }
    if (event.result.kind == outcome::done) {
        const service *target = findService(step.router, request.what.service);
        earnRetry(step.router.budgets[request.what.service], target == nullptr ? 0 : target->retryBudget);
    }
    statement_result result = event.result;
    translateTransaction(step, request, result);
    answerAndRemove(step, event.request, std::move(result));
}

void failForward(entry_step &step, request_id id, bool mayHaveRun)
{
    entry_request &request = step.router.inFlight.at(id);
    if (request.what.transaction.value() != 0) {
        const bool commits = request.what.kind == statement_kind::commit;
        step.router.transactions.erase(request.transaction);
        answerAndRemove(step, id, commits && mayHaveRun ? unknownOutcome(failure::connectionLost) : notRun(failure::transactionLost));
        return;
    }
    const bool readOnly = request.what.kind == statement_kind::read || request.what.kind == statement_kind::lookup;
    if (mayHaveRun && !readOnly && request.what.kind != statement_kind::begin) {
        answerAndRemove(step, id, unknownOutcome(failure::connectionLost, "the owner went away before it answered"));
        return;
    }
    if (mayHaveRun && !spendRetry(step.router.budgets[request.what.service])) {
        answerAndRemove(step, id, notRun(failure::ownerUnreachable, "the retry budget is spent", defaultRetryAfter));
        return;
    }
    selectNextCandidate(step, request.group, request.sentTo, std::nullopt);
    scheduleRetry(step, request);
}

void onPeerLost(entry_step &step, const peer_disconnected &event)
{
    std::vector<request_id> lost;
    for (const auto &[id, request] : step.router.inFlight) {
        if (request.sent && request.sentTo == event.peer) {
            lost.push_back(id);
        }
    }
    for (const request_id id : lost) {
        failForward(step, id, !event.connectFailed);
    }
    std::erase_if(step.router.transactions, [&](const auto &item) {
        return item.second.owner == event.peer;
    });
    step.router.lastReplyAt.erase(event.peer);
    // The owner rolls back the transactions of a disconnected entry.
    std::erase_if(step.router.orphanedBegins, [&](const auto &item) {
        return item.second.owner == event.peer;
    });
}

void onHolders(entry_step &step, const holders_found &event)
{
    owner_candidates &candidates = step.router.owners[event.group];
    if (event.holders.empty()) {
        return;
    }
    if (candidates.holders != event.holders) {
        candidates.holders = event.holders;
        candidates.current = 0;
    }
    std::vector<request_id> waiting;
    for (const auto &[id, request] : step.router.inFlight) {
        if (!request.sent && request.attempts == 0 && request.group == event.group) {
            waiting.push_back(id);
        }
    }
    for (const request_id id : waiting) {
        trySend(step, id);
    }
}

statement_result expiredResult(const entry_request &request)
{
    const bool mayHaveRun = request.sent && (request.what.kind == statement_kind::write || request.what.kind == statement_kind::commit);
    if (mayHaveRun) {
        return unknownOutcome(failure::deadlineExceeded, "the owner did not answer in time");
    }
    const failure cause = request.sent ? failure::deadlineExceeded : failure::ownerUnreachable;
    return notRun(cause, "no owner answered in time", defaultRetryAfter);
}

void onTick(entry_step &step)
{
    // The owner answers at the deadline at the latest; the grace period covers the network delay of that answer.
    constexpr duration replyGracePeriod = std::chrono::milliseconds(100);
    std::vector<request_id> expired;
    std::vector<request_id> due;
    for (auto &[id, request] : step.router.inFlight) {
        suspectOwner(step, request);
        const duration allowed = request.sent ? replyGracePeriod : duration::zero();
        if (step.now >= request.what.deadline + allowed) {
            expired.push_back(id);
            continue;
        }
        if (!request.sent && step.now >= request.retryAt) {
            due.push_back(id);
        }
    }
    for (const request_id id : expired) {
        const entry_request &request = step.router.inFlight.at(id);
        abandon(step, request, id);
        if (request.what.kind == statement_kind::commit || request.what.kind == statement_kind::rollback) {
            step.router.transactions.erase(request.transaction);
        }
        answerAndRemove(step, id, expiredResult(request));
    }
    std::erase_if(step.router.orphanedBegins, [&](const auto &item) {
        return step.now >= item.second.forgetAt;
    });
    for (const request_id id : due) {
        trySend(step, id);
    }
}

} // namespace

entry_router::entry_router(std::string key, entry_settings entrySettings)
    : tokenKey(std::move(key))
    , settings(entrySettings)
{
}

void step(entry_router &router, const entry_event &event, time_point now, entry_actions &actions)
{
    entry_step step{router, now, actions};
    std::visit(
        [&](const auto &what) {
            using event_type = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<event_type, caller_request_arrived>) {
                onCaller(step, what);
            } else if constexpr (std::is_same_v<event_type, caller_disconnected>) {
                onCallerGone(step, what);
            } else if constexpr (std::is_same_v<event_type, owner_answered>) {
                onAnswer(step, what);
            } else if constexpr (std::is_same_v<event_type, peer_disconnected>) {
                onPeerLost(step, what);
            } else if constexpr (std::is_same_v<event_type, forward_failed>) {
                if (router.inFlight.contains(what.request)) {
                    failForward(step, what.request, false);
                }
            } else if constexpr (std::is_same_v<event_type, holders_found>) {
                onHolders(step, what);
            } else if constexpr (std::is_same_v<event_type, configuration_adopted>) {
                const bool newer = !router.configuration || router.configuration->revision < what.snapshot->revision;
                if (newer) {
                    router.configuration = what.snapshot;
                }
            } else if constexpr (std::is_same_v<event_type, entry_ticked>) {
                onTick(step);
            }
        },
        event);
}

group_name groupFor(const service &service, const std::string &partition)
{
    if (service.groups.size() == 1 || partition.empty()) {
        return group_name(service.groups.front());
    }
    std::vector<instance_name> groups;
    for (const std::string &group : service.groups) {
        groups.emplace_back(group);
    }
    return group_name(rankInstances(partition, std::move(groups)).front().value());
}

} // namespace mustardrouter
