#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One database as the platform lists it.
struct listed_database {
    database_name name;
    group_name group;
    /// IP:PORT.
    std::string address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool leaving = false;
    /// Its own view of its role; it may lag.
    bool reportsPrimary = false;
    /// Changes when a database starts again under its old name; zero when not said.
    std::uint64_t incarnation = 0;

    bool operator==(const listed_database &) const = default;
};

/// All databases that the platform lists.
using database_listing = std::vector<listed_database>;

} // namespace mustardrouter
