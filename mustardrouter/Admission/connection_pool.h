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

/// State of a connection to a database. A pinned connection is held by a transaction between two statements.
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

/// All connections of an owner to one database. Slots and connections are counted separately: a transaction holds a
/// connection until it ends, and a slot only while one of its statements runs.
struct connection_pool {
    explicit connection_pool(pool_limits poolLimits);

    pool_limits limits;
    std::vector<pooled_connection> connections;
    std::uint32_t running = 0;
    /// Number of connections in each state.
    std::array<std::uint32_t, connectionStateCount> counts{};
    /// No connection is opened before this instant.
    time_point openNotBefore{};
    /// Moving average of a statement's service time as seen from the owner, including the network round trip.
    double serviceMicros = 1000;
    /// When a statement was last answered.
    time_point answeredAt{};
    /// Share of the reads that a slow replica is given, and its credit: a read may run there once the credit reaches 1.
    double admittedShare = 1;
    double admittedCredit = 0;
};

/// Whether a slot is free for a statement.
bool hasFreeSlot(const connection_pool &pool);

/// Takes an idle connection and a slot for a statement; nothing if either is missing.
std::optional<connection_id> acquireConnection(connection_pool &pool, time_point now);

/// Takes a slot for a statement on a connection that its transaction holds.
void resumeConnection(connection_pool &pool, connection_id id, time_point now);

/// Releases the slot. The connection stays with its transaction if `pinned`, and becomes idle otherwise.
void releaseConnection(connection_pool &pool, connection_id id, bool pinned, time_point now);

/// Makes a pinned connection idle.
void unpinConnection(connection_pool &pool, connection_id id, time_point now);

/// Whether another connection should and may be opened for `waiting` statements.
bool shouldOpen(const connection_pool &pool, std::size_t waiting, time_point now);

/// Number of connections in one state.
std::uint32_t countOf(const connection_pool &pool, connection_state state);

/// Whether a connection should be opened ahead of demand, so that there is one for each slot.
bool shouldPreopen(const connection_pool &pool, time_point now);

/// A connection that has been idle for `idleFor` and is more than one for each slot requires, or nothing.
std::optional<connection_id> findSurplusIdle(const connection_pool &pool, duration idleFor, time_point now);

/// Connections that have waited for an answer for `timeout`, while the database has reported (`lastReportAt`) or
/// answered another statement at least `timeout` after the wait began.
std::vector<connection_id> findUnresponsive(const connection_pool &pool, duration timeout, time_point lastReportAt, time_point now);

/// Halves a replica's admitted share if it is much slower than the fastest one, and otherwise raises the share by a
/// step.
void adjustAdmittedShare(connection_pool &pool, double fastestMicros);

/// Adds a connection that is being opened.
void addConnection(connection_pool &pool, connection_id id, time_point now);

/// Marks a connection as open and idle.
void markOpened(connection_pool &pool, connection_id id, time_point now);

/// Removes a connection and releases its slot, if it has one.
void removeConnection(connection_pool &pool, connection_id id);

/// The connection, or nullptr if it is not in the pool.
const pooled_connection *findConnection(const connection_pool &pool, connection_id id);

} // namespace mustardrouter
