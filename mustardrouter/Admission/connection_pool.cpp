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

std::size_t countIn(const connection_pool &pool, connection_state state)
{
    return static_cast<std::size_t>(std::ranges::count(pool.connections, state, &pooled_connection::state));
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

std::optional<connection_id> takeConnection(connection_pool &pool, time_point now)
{
    if (!hasFreeSlot(pool)) {
        return std::nullopt;
    }
    const auto idle = std::ranges::find(pool.connections, connection_state::idle, &pooled_connection::state);
    if (idle == pool.connections.end()) {
        return std::nullopt;
    }
    idle->state = connection_state::running;
    idle->since = now;
    ++pool.running;
    return idle->id;
}

void resumeConnection(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    assert(connection != nullptr && connection->state == connection_state::pinned);
    assert(hasFreeSlot(pool));
    connection->state = connection_state::running;
    connection->since = now;
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
    constexpr double newWeight = 0.1;
    const auto took = static_cast<double>((now - connection->since).count());
    pool.serviceMicros += newWeight * (took - pool.serviceMicros);
    connection->state = pinned ? connection_state::pinned : connection_state::idle;
    connection->since = now;
}

void unpinConnection(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    if (connection == nullptr || connection->state != connection_state::pinned) {
        return;
    }
    connection->state = connection_state::idle;
    connection->since = now;
}

bool shouldOpen(const connection_pool &pool, std::size_t waiting, time_point now)
{
    if (pool.connections.size() >= pool.limits.connections || now < pool.openAfter) {
        return false;
    }
    const std::size_t opening = countIn(pool, connection_state::opening);
    const std::size_t idle = countIn(pool, connection_state::idle);
    return opening < pool.limits.slots && opening + idle < waiting;
}

void addConnection(connection_pool &pool, connection_id id, time_point now)
{
    assert(pool.connections.size() < pool.limits.connections);
    pool.connections.push_back({id, connection_state::opening, now});
}

void markOpened(connection_pool &pool, connection_id id, time_point now)
{
    pooled_connection *connection = find(pool, id);
    if (connection == nullptr || connection->state != connection_state::opening) {
        return;
    }
    connection->state = connection_state::idle;
    connection->since = now;
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
    pool.connections.erase(found);
}

const pooled_connection *findConnection(const connection_pool &pool, connection_id id)
{
    const auto found = std::ranges::find(pool.connections, id, &pooled_connection::id);
    return found == pool.connections.end() ? nullptr : &*found;
}

} // namespace mustardrouter
