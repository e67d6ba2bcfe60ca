#include "mustardrouter/Proxy/engine_limits.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace proxying;

/// Passes on what the limits request, and schedules their next timer.
void performLimitActions(proxy_engine &engine, time_point now)
{
    for (limit_action &action : std::exchange(engine.limits.actions, {})) {
        if (auto *message = std::get_if<send_limit_message>(&action)) {
            engine.actions.emplace_back(std::move(*message));
        } else if (std::holds_alternative<resume_workspace>(action)) {
            for (const auto &[name, group] : engine.groups) {
                if (!group.waiting.empty()) {
                    engine.groupsToDispatch.insert(name);
                }
            }
        } else if (const auto *limit = std::get_if<report_limit>(&action)) {
            reportEvent(engine,
                        limit->reached ? "limit_reached" : "limit_ended",
                        {{"workspace", limit->workspace.value()}, {"refused", std::to_string(limit->refused)}});
        } else if (const auto *shares = std::get_if<report_limit_shares>(&action)) {
            reportEvent(
                engine, "limit_shares", {{"members", std::to_string(shares->members)}, {"pool_slots", std::to_string(shares->poolSlots)}});
        }
    }
    const std::optional<time_point> next = nextLimitTimer(engine.limits);
    if (next && (engine.limitTimerAt == time_point{} || *next < engine.limitTimerAt)) {
        engine.limitTimerAt = std::max(*next, now);
        scheduleTimer(engine, engine.limitTimerAt, timer_kind::limits, 0);
    }
}

/// Whether the next token comes soon enough to wait for it: a bucket is empty for a moment after a pool was replaced, and a refusal
/// costs the caller one of few attempts. At most a fifth of the route's latency target.
bool mayWaitForToken(const proxy_engine &engine, const client_session &session, duration retryAfter, time_point now)
{
    constexpr std::int64_t waitShare = 5;
    const auto found = engine.routes.routes.find(session.database);
    if (!session.transaction && found == engine.routes.routes.end()) {
        return false;
    }
    const route &sessionRoute = session.transaction ? session.transaction->sessionRoute : found->second;
    return now - session.current->arrivedAt + retryAfter <= sessionRoute.latencyTarget / waitShare;
}

/// Refuses the session's statement as not run. Not logged: a span of refusals has one line.
void refuseBeyondLimit(proxy_engine &engine, client_session &session, duration retryAfter, time_point now)
{
    constexpr const char *reason = "the limit of the workspace is reached";
    engine.counters.refusals += 1;
    engine.counters.refusalsByCause[reason] += 1;
    if (!session.relayed) {
        countRefusal(engine.counters.workspaces, session.caller.workspace, reason);
    }
    client_reply reply;
    reply.code = reply_code::busy;
    reply.detail = reason;
    reply.retryAfter = std::max<duration>(retryAfter, std::chrono::milliseconds(1));
    if (session.transaction) {
        const bool ends = session.current->statement.verb == client_verb::commit;
        endTransaction(engine, session, ends ? transaction_state::none : transaction_state::failed, now);
    }
    replyToStatement(engine, session, std::move(reply), now);
}

} // namespace

void onLimitMessage(proxy_engine &engine, const limit_message &message, time_point now)
{
    onLimitMessage(engine.limits, message, now);
    performLimitActions(engine, now);
    dispatchReadyGroups(engine, now);
}

void onPeerLost(proxy_engine &engine, const instance_name &peer, time_point now)
{
    onLimitPeerLost(engine.limits, peer, now);
    performLimitActions(engine, now);
    dispatchReadyGroups(engine, now);
}

namespace proxying
{

std::optional<bool> heldByLimit(proxy_engine &engine, client_session &session, limit_check check, time_point now)
{
    bool &counted = session.transaction ? session.transaction->counted : session.current->counted;
    const workspace_name &workspace = session.caller.workspace;
    if (counted || !engine.limits.limits.contains(workspace)) {
        return std::nullopt;
    }
    const limit_verdict verdict = check == limit_check::early ? checkLimit(engine.limits, workspace, session.id.value(), now)
                                                              : spend(engine.limits, workspace, session.id.value(), now);
    performLimitActions(engine, now);
    switch (verdict.decision) {
    case limit_decision::send:
        counted = check == limit_check::beforeSending;
        return std::nullopt;
    case limit_decision::wait:
        session.heldByLimitAt = now;
        return false;
    case limit_decision::refuse:
        break;
    }
    if (!session.current) {
        // The refusal of a BEGIN is the reply to its first statement, which is yet to come.
        return false;
    }
    if (mayWaitForToken(engine, session, verdict.retryAfter, now)) {
        session.heldByLimitAt = now;
        const group_state *group = groupOf(engine, session);
        scheduleTimer(engine, now + verdict.retryAfter, timer_kind::dispatch, 0, group->name);
        return false;
    }
    if (!session.transaction && awaitEarlierRun(engine, session, now)) {
        return true;
    }
    refuseBeyondLimit(engine, session, verdict.retryAfter, now);
    return true;
}

void updateWorkspaceLimits(proxy_engine &engine, time_point now)
{
    std::map<workspace_name, workspace_limit> limits;
    for (const auto &[name, workspace] : engine.routes.workspaces.workspaces) {
        if (workspace.limit) {
            limits[name] = *workspace.limit;
        }
    }
    onLimits(engine.limits, limits, now);
    performLimitActions(engine, now);
}

void updateLimitInstances(proxy_engine &engine, time_point now)
{
    std::vector<limit_instance> listed;
    listed.reserve(engine.instances.size());
    for (const listed_instance &instance : engine.instances) {
        listed.push_back({instance.name, instance.capacity, instance.leaving && !instance.unresponsive, instance.unresponsive});
    }
    onLimitInstances(engine.limits, listed, now);
    performLimitActions(engine, now);
}

void stopLimits(proxy_engine &engine, time_point now)
{
    onLimitStop(engine.limits, now);
    performLimitActions(engine, now);
}

void checkWorkspaceLimits(proxy_engine &engine, time_point due, time_point now)
{
    if (due != engine.limitTimerAt) {
        return;
    }
    engine.limitTimerAt = {};
    onLimitTimer(engine.limits, now);
    performLimitActions(engine, now);
}

} // namespace proxying

} // namespace mustardrouter
