#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardrouter
{

/// A connection is there after its cost (27 ms) and three ways between regions (12 to 20 ms each); a database that
/// takes longer is busy or dark, and another is tried beside it.
constexpr duration slowOpenThreshold = std::chrono::milliseconds(150);

/// One database that may serve a statement, as far as its connections matter.
struct connection_option {
    /// Expected time until it has answered, in microseconds.
    double expectedMicros = 0;
    /// A connection is free.
    bool idle = false;
    /// One more may be opened.
    bool mayOpen = false;
    /// A connection is being opened, and for how long.
    bool opening = false;
    duration openingFor{};
};

/// Which connection serves a statement, and which is opened; an index is the number of options when there is none.
struct connection_choice {
    std::size_t idleIndex = 0;
    std::size_t openIndex = 0;
};

/// Chooses among options in the order of preference. The load this answers: all instances start at once, as after a
/// loss of power, and each has statements for every group. A new connection costs a slot for 10 to 30 ms; opened to
/// all databases of a group by each instance they keep out the statements that they are for. So one is opened at a
/// time, at the best; another while that takes long, or when what is free is much farther than the best.
connection_choice chooseConnection(const std::vector<connection_option> &options);

} // namespace mustardrouter
