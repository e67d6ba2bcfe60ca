#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A workspace as the stand-in's operator writes it. Nothing is checked, so that bad configurations can be written too.
struct standin_workspace {
    std::string name;
    std::vector<std::string> keys;
    std::uint32_t priority = 1;
    /// Limit of operations per second, and how many may run at once after a pause; no limit is written for 0.
    double operationsPerSecond = 0;
    double burst = 0;

    bool operator==(const standin_workspace &) const = default;
};

} // namespace mustardrouter
