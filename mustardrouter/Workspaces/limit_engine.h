#pragma once

#include "mustardrouter/Workspaces/limit_action.h"
#include "mustardrouter/Workspaces/limit_instance.h"
#include "mustardrouter/Workspaces/limit_lender.h"
#include "mustardrouter/Workspaces/limit_ownership.h"
#include "mustardrouter/Workspaces/limit_pool.h"
#include "mustardrouter/Workspaces/limit_spender.h"
#include "mustardrouter/Workspaces/limit_verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardrouter
{

/// Keeps the operations of each workspace, summed over all instances, within its limit; docs/design/0020-limits.md. Each event
/// handler appends to `actions` what the caller has to do, in order. All times are those of one clock that goes on while the machine
/// sleeps or the process is frozen.
struct limit_engine {
    explicit limit_engine(limit_settings engineSettings);

    limit_settings settings;
    std::map<workspace_name, workspace_limit> limits;
    /// Pools of each slot, first the highest ranked.
    std::vector<std::vector<instance_name>> candidates;
    limit_ownership ownership;
    limit_lender lender;
    limit_pool pool;
    limit_spender spender;
    std::vector<limit_action> actions;
    /// Requests of the present event, by pool.
    std::map<instance_name, limit_request> requests;
    report_limit_shares reported;
};

/// The list of instances was read or has changed.
void onLimitInstances(limit_engine &engine, const std::vector<limit_instance> &listed, time_point now);
/// A version of the configuration was read.
void onLimits(limit_engine &engine, const std::map<workspace_name, workspace_limit> &limits, time_point now);
void onLimitMessage(limit_engine &engine, const limit_message &message, time_point now);
/// The link to the instance was lost or could not be opened.
void onLimitPeerLost(limit_engine &engine, const instance_name &peer, time_point now);
/// This instance is to stop.
void onLimitStop(limit_engine &engine, time_point now);
/// Does what is due.
void onLimitTimer(limit_engine &engine, time_point now);
/// When `onLimitTimer` has to be called next.
std::optional<time_point> nextLimitTimer(const limit_engine &engine);

/// Asks for a statement that is not ready to be sent yet, so that a refusal takes no room from others and a token is requested early.
/// `waiter` identifies the statement.
limit_verdict checkLimit(limit_engine &engine, const workspace_name &workspace, std::uint64_t waiter, time_point now);
/// Asks immediately before a statement or BEGIN is sent to a database; `send` uses a token.
limit_verdict spend(limit_engine &engine, const workspace_name &workspace, std::uint64_t waiter, time_point now);

} // namespace mustardrouter
