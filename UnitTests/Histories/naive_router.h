#pragma once

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// The reference: one store, everything on it, one request at a time.
struct naive_router {
    std::string rows;

    /// Adds the rows of one write or one transaction and returns what the store then holds.
    const std::string &write(const std::vector<std::string> &added)
    {
        for (const std::string &row : added) {
            rows += row + ",";
        }
        return rows;
    }

    /// Everything that the store holds.
    const std::string &read() const
    {
        return rows;
    }
};

} // namespace mustardrouter::histories
