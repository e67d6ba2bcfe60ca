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
    /// Whether the database considers itself primary; may be outdated.
    bool reportsPrimary = false;
    /// Changes when a database restarts under its old name; zero when not reported.
    std::uint64_t incarnation = 0;
    /// Rises with each entry of the same incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const listed_database &) const = default;
};

/// All databases that the platform lists.
using database_listing = std::vector<listed_database>;

} // namespace mustardrouter
