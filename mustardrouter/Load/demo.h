#pragma once

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// Settings of the demo.
struct demo_settings {
    std::string deployment = "granite-notch";
    std::uint32_t seconds = 10;
    std::size_t instances = 3;
    double operationsPerSecond = 200;
    std::uint64_t seed = 1;
    /// File for the JSON report; if empty, none is written.
    std::string reportFile;
};

/// Runs a load on a whole deployment, kills a primary half-way and prints what happens. Returns the exit code
/// of the program: 0 if every promise was kept, 1 if not, 2 for invalid settings.
int runDemo(const demo_settings &settings);

} // namespace mustardrouter
