#include "mustardrouter/Admission/connection_pool.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

namespace
{

pooled_connection *find(connection_pool &pool, connection_id id)
{
    const auto found = std::ranges::find(pool.connections, id, &pooled_connection::id);
    return found == pool.connections.end() ? nullptr : &*found;
}

std::uint32_t &counterOf(connection_pool &pool, connection_state state)
{
    return pool.counts[static_cast<std::size_t>(state)];
}

void setState(connection_pool &pool, pooled_connection &connection, connection_state state, time_point now)
{
    assert(counterOf(pool, connection.state) > 0);
    --counterOf(pool, connection.state);
    ++counterOf(pool, state);
    connection.state = state;
    connection.stateSince = now;
}

/// Number of connections that can take a statement now or once they are open.
std::uint32_t available(const connection_pool &pool)
{
    return countOf(pool, connection_state::opening) + countOf(pool, connection_state::idle);
}

bool mayOpen(const connection_pool &pool, time_point now)
{
    // At most one connection is being opened for each slot, so that a new primary is not flooded with connection
    // attempts.
    return pool.connections.size() < pool.limits.connections && now >= pool.openNotBefore
           && countOf(pool, connection_state::opening) < pool.limits.slots;
}

} // namespace

connection_pool::connection_pool(pool_limits poolLimits)
    : limits(poolLimits)
{
}

bool hasFreeSlot(const connection_pool &pool)
{
    return pool.running < pool.limits.slots;
}

std::optional<connection_id> acquireConnection(connection_pool &pool, time_point now)
{
    if (!hasFreeSlot(pool)) {
        return std::nullopt;
    }
    if (countOf(pool, connection_state::idle) == 0) {
        return std::nullopt;
    }
    const auto idle = std::ranges::find(pool.connections, connection_state::idle, &pooled_connection::state);
    if (idle == pool.connections.end()) {
        return std::nullopt;
    }
    setState(pool, *idle, connection_state::running, now);
    ++pool.running;
    return idle->id;
}

void resumeConnection(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    assert(connection != nullptr && connection->state == connection_state::pinned);
    assert(hasFreeSlot(pool));
    setState(pool, *connection, connection_state::running, now);
    ++pool.running;
}

void releaseConnection(connection_pool &pool, connection_id id, bool pinned, time_point now)
{
    pooled_connection *connection = find(pool, id);
    if (connection == nullptr || connection->state != connection_state::running) {
        return;
    }
    assert(pool.running > 0);
    --pool.running;
    constexpr double smoothingFactor = 0.1;
    const auto serviceTime = static_cast<double>((now - connection->stateSince).count());
    pool.answeredAt = now;
    pool.serviceMicros += smoothingFactor * (serviceTime - pool.serviceMicros);
    setState(pool, *connection, pinned ? connection_state::pinned : connection_state::idle, now);
}

void unpinConnection(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    if (connection == nullptr || connection->state != connection_state::pinned) {
        return;
    }
    setState(pool, *connection, connection_state::idle, now);
}

bool shouldOpen(const connection_pool &pool, std::size_t waiting, time_point now)
{
    return mayOpen(pool, now) && available(pool) < waiting;
}

std::uint32_t countOf(const connection_pool &pool, connection_state state)
{
    return pool.counts[static_cast<std::size_t>(state)];
}

bool shouldPreopen(const connection_pool &pool, time_point now)
{
    return mayOpen(pool, now) && available(pool) + countOf(pool, connection_state::running) < pool.limits.slots;
}

std::optional<connection_id> findSurplusIdle(const connection_pool &pool, duration idleFor, time_point now)
{
    if (available(pool) + countOf(pool, connection_state::running) <= pool.limits.slots) {
        return std::nullopt;
    }
    for (const pooled_connection &connection : pool.connections) {
        if (connection.state == connection_state::idle && now - connection.stateSince >= idleFor) {
            return connection.id;
        }
    }
    return std::nullopt;
}

std::vector<connection_id> findUnresponsive(const connection_pool &pool, duration timeout, time_point lastReportAt, time_point now)
{
    std::vector<connection_id> unresponsive;
    const time_point lastReplyAt = std::max(lastReportAt, pool.answeredAt);
    for (const pooled_connection &connection : pool.connections) {
        const bool awaitsReply = connection.state == connection_state::running || connection.state == connection_state::opening;
        if (awaitsReply && now - connection.stateSince >= timeout && lastReplyAt - connection.stateSince >= timeout) {
            unresponsive.push_back(connection.id);
        }
    }
    return unresponsive;
}

void adjustAdmittedShare(connection_pool &pool, double fastestMicros)
{
    constexpr double slowFactor = 3;
    constexpr double minSlowdownMicros = 5000;
    constexpr double minShare = 0.02;
    constexpr double shareRecoveryStep = 0.05;
    const bool slow = pool.serviceMicros > slowFactor * fastestMicros && pool.serviceMicros > fastestMicros + minSlowdownMicros;
    pool.admittedShare = slow ? std::max(minShare, pool.admittedShare / 2) : std::min(1.0, pool.admittedShare + shareRecoveryStep);
}

void addConnection(connection_pool &pool, connection_id id, time_point now)
{
    assert(pool.connections.size() < pool.limits.connections);
    pool.connections.push_back({id, connection_state::opening, now});
    ++counterOf(pool, connection_state::opening);
}

void markOpened(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    if (connection == nullptr || connection->state != connection_state::opening) {
        return;
    }
    setState(pool, *connection, connection_state::idle, now);
}

void removeConnection(connection_pool &pool, connection_id id)
{
    const auto found = std::ranges::find(pool.connections, id, &pooled_connection::id);
    if (found == pool.connections.end()) {
        return;
    }
    if (found->state == connection_state::running) {
        assert(pool.running > 0);
        --pool.running;
    }
    --counterOf(pool, found->state);
    pool.connections.erase(found);
}

const pooled_connection *findConnection(const connection_pool &pool, connection_id id)
{
    const auto found = std::ranges::find(pool.connections, id, &pooled_connection::id);
    return found == pool.connections.end() ? nullptr : &*found;
}

} // namespace mustardrouter
