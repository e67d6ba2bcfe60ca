#include "mustardrouter/Proxy/proxy_engine.h"

#include "mustardrouter/Proxy/engine_limits.h"
#include "mustardrouter/Proxy/engine_parts.h"

#include <utility>

namespace mustardrouter
{

proxy_engine::proxy_engine(proxy_settings engineSettings)
    : settings(std::move(engineSettings))
    , limits(settings.limits)
    , random(settings.seed)
{
}

std::optional<time_point> nextTimer(const proxy_engine &engine)
{
    if (engine.timers.empty()) {
        return std::nullopt;
    }
    return engine.timers.top().due;
}

namespace
{

void runTimer(proxy_engine &engine, const proxy_timer &timer, time_point now)
{
    switch (timer.kind) {
    case timer_kind::session: {
        const auto found = engine.sessions.find(session_id(timer.id));
        if (found != engine.sessions.end()) {
            proxying::checkSession(engine, found->second, now);
        }
        return;
    }
    case timer_kind::connection: {
        const auto found = engine.connections.find(database_connection_id(timer.id));
        if (found != engine.connections.end()) {
            proxying::checkConnection(engine, found->second, now);
        }
        return;
    }
    case timer_kind::group: {
        const auto found = engine.groups.find(timer.group);
        if (found != engine.groups.end() && found->second.nextCheckAt == timer.due) {
            found->second.nextCheckAt = time_point{};
            proxying::checkGroup(engine, found->second, now);
        }
        return;
    }
    case timer_kind::warmUp: {
        const auto found = engine.groups.find(timer.group);
        if (found != engine.groups.end()) {
            proxying::warmUp(engine, found->second, timer.database, now);
        }
        return;
    }
    case timer_kind::verification: {
        const auto found = engine.groups.find(timer.group);
        if (found != engine.groups.end()) {
            proxying::checkVerification(engine, found->second, now);
        }
        return;
    }
    case timer_kind::instances:
        proxying::dropLostInstances(engine, now);
        return;
    case timer_kind::limits:
        proxying::checkWorkspaceLimits(engine, timer.due, now);
        return;
    case timer_kind::dispatch:
        engine.groupsToDispatch.insert(timer.group);
        return;
    }
}

} // namespace

void onTimer(proxy_engine &engine, time_point now)
{
    while (!engine.timers.empty() && engine.timers.top().due <= now) {
        const proxy_timer timer = engine.timers.top();
        engine.timers.pop();
        runTimer(engine, timer, now);
    }
    proxying::dispatchReadyGroups(engine, now);
}

namespace proxying
{

void scheduleTimer(proxy_engine &engine, time_point due, timer_kind kind, std::uint64_t id, const group_name &group)
{
    engine.timers.push({due, kind, id, group, {}});
}

void reportEvent(proxy_engine &engine, const char *event, std::vector<std::pair<const char *, std::string>> fields)
{
    engine.actions.emplace_back(report_event{event, std::move(fields)});
}

std::string toMillisText(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace proxying

} // namespace mustardrouter
