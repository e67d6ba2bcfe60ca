#pragma once

#include <string>
#include <vector>

namespace mustardrouter::histories
{

/// Reference implementation: a single store that executes one request at a time.
struct naive_router {
    std::string rows;

    /// Adds the rows of one write or transaction and returns the contents of the store.
    const std::string &write(const std::vector<std::string> &added)
    {
        for (const std::string &row : added) {
            rows += row + ",";
        }
        return rows;
    }

    /// Returns the contents of the store.
    const std::string &read() const
    {
        return rows;
    }
};

} // namespace mustardrouter::histories
