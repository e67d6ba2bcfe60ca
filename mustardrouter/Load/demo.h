#pragma once

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// What the demo is asked to do.
struct demo_settings {
    std::string deployment = "granite-notch";
    std::uint32_t seconds = 10;
    std::size_t instances = 3;
    double operationsPerSecond = 200;
    std::uint64_t seed = 1;
    /// File for the JSON report; empty writes none.
    std::string reportFile;
};

/// Runs the whole path with a primary killed half-way and tells what happens. Gives the exit code
/// of the program: 0 when every promise was kept, 1 when not, 2 for bad settings.
int runDemo(const demo_settings &settings);

} // namespace mustardrouter
