#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardrouter
{

/// Opening a connection normally takes up to 87 ms: 27 ms of work at the database and three one-way delays between
/// regions of 12 to 20 ms each. Beyond this threshold the database is busy or unresponsive, and a connection to another
/// is opened too.
constexpr duration slowOpenThreshold = std::chrono::milliseconds(150);

/// One database that may serve a statement, with the state of this instance's connections to it.
struct connection_option {
    /// Expected time to its reply, in microseconds.
    double expectedMicros = 0;
    /// A connection is idle.
    bool idle = false;
    /// One more connection may be opened.
    bool mayOpen = false;
    /// For that, an idle connection of another workspace has to be closed.
    bool replaces = false;
    /// A connection is being opened, and for how long.
    bool opening = false;
    duration openingFor{};
};

/// The option whose idle connection serves a statement, and the option to which a connection is opened. An index
/// equal to the number of options stands for none.
struct connection_choice {
    std::size_t idleIndex = 0;
    std::size_t openIndex = 0;
};

/// Chooses among options, which are in order of preference. All instances may start at once, as after a power loss,
/// with statements for every group. A new connection costs a slot for 10 to 30 ms; if each instance opened one to
/// every database of a group, they would displace the statements that they are for. So an instance opens one at a
/// time, to the best option, and a second one only if the first exceeds slowOpenThreshold. With an idle connection, it
/// opens one only to a clearly faster option.
connection_choice chooseConnection(const std::vector<connection_option> &options);

} // namespace mustardrouter
