#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace mustardrouter
{

/// What a connection to a database is doing.
enum class connection_state : std::uint8_t { opening, idle, running, pinned };

constexpr std::size_t connectionStateCount = 4;

/// One connection of a pool.
struct pooled_connection {
    connection_id id;
    connection_state state = connection_state::opening;
    time_point stateSince{};
};

/// Limits of a database, shared by all its users.
struct pool_limits {
    /// Statements that may run at once.
    std::uint32_t slots = 1;
    /// Connections that may be open at once.
    std::uint32_t connections = 1;
};

/// All connections of an owner to one database. Slots and connections are counted apart: a
/// transaction holds a connection while it thinks, and a slot only while it runs.
struct connection_pool {
    explicit connection_pool(pool_limits poolLimits);

    pool_limits limits;
    std::vector<pooled_connection> connections;
    std::uint32_t running = 0;
    /// Connections in each state.
    std::array<std::uint32_t, connectionStateCount> counts{};
    /// No connection is opened before this instant.
    time_point openAllowedAt{};
    /// Mean service time of a statement, in microseconds, as seen from the owner: the way to the
    /// database and back is part of it.
    double serviceMicros = 1000;
    /// When a statement was answered last.
    time_point answeredAt{};
    /// Share of the reads offered to it that a slow replica takes, and the part earned so far.
    double admittedShare = 1;
    double admittedCredit = 0;
};

/// Whether a statement may start now.
bool hasFreeSlot(const connection_pool &pool);

/// Takes an idle connection for a statement and a slot with it.
std::optional<connection_id> acquireConnection(connection_pool &pool, time_point now);

/// Takes a slot on a connection that a transaction holds.
void resumeConnection(connection_pool &pool, connection_id id, time_point now);

/// Gives the slot back. The connection stays with its transaction when `pinned`.
void releaseConnection(connection_pool &pool, connection_id id, bool pinned, time_point now);

/// Ends a transaction's hold on a connection on which nothing runs.
void unpinConnection(connection_pool &pool, connection_id id, time_point now);

/// Whether another connection should and may be opened for `waiting` statements.
bool shouldOpen(const connection_pool &pool, std::size_t waiting, time_point now);

/// Connections in one state.
std::uint32_t countOf(const connection_pool &pool, connection_state state);

/// Whether a connection should be opened ahead of demand, so that every slot finds one.
bool shouldPreopen(const connection_pool &pool, time_point now);

/// An idle connection that has been of no use for `idleFor` and is not needed for the slots.
std::optional<connection_id> findSurplusIdle(const connection_pool &pool, duration idleFor, time_point now);

/// Connections on which a statement has had no answer for `timeout`, though the database has
/// answered elsewhere (`lastReportAt`) since.
std::vector<connection_id> findUnresponsive(const connection_pool &pool, duration timeout, time_point lastReportAt, time_point now);

/// Halves a replica's share when it is much slower than the fastest one, and otherwise lets it
/// back by degrees.
void adjustAdmittedShare(connection_pool &pool, double fastestMicros);

/// Counts a connection that is being opened.
void addConnection(connection_pool &pool, connection_id id, time_point now);

/// Marks a connection as open and idle.
void markOpened(connection_pool &pool, connection_id id, time_point now);

/// Forgets a connection; its slot, if any, is free again.
void removeConnection(connection_pool &pool, connection_id id);

/// The connection, or nothing when the pool does not hold it.
const pooled_connection *findConnection(const connection_pool &pool, connection_id id);

} // namespace mustardrouter
