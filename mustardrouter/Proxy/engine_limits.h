#pragma once

#include "mustardrouter/Proxy/proxy_engine.h"

#include <optional>

/// Limits of workspaces over all instances. Internal to the engine_*.cpp files.
namespace mustardrouter::proxying
{

enum class limit_check : std::uint8_t {
    /// Before a connection is chosen: what is refused takes no room from others, and tokens are requested early.
    early,
    /// Immediately before the statement or BEGIN is sent to a database: it is counted.
    beforeSending,
};

/// Whether the limit of the session's workspace keeps its statement or BEGIN from being sent: nothing if not, otherwise whether the
/// session no longer waits because its statement was refused. An operation is counted once, however often it
/// is refused, and again for a run beside its first one.
std::optional<bool> heldByLimit(proxy_engine &engine, client_session &session, limit_check check, time_point now);
/// The limits of the present configuration are in force.
void updateWorkspaceLimits(proxy_engine &engine, time_point now);
/// The list of instances has changed.
void updateLimitInstances(proxy_engine &engine, time_point now);
/// This instance stops.
void stopLimits(proxy_engine &engine, time_point now);
/// The timer of the limits that was set for `due` has run.
void checkWorkspaceLimits(proxy_engine &engine, time_point due, time_point now);

} // namespace mustardrouter::proxying
